import {
  LogError,
  MemoryLog,
  createRandomGenerator,
  createTableEditor,
  rowSchema,
  toId,
  toLogOffset,
} from '@goldcrestscale/core';
import type { BootId, RowChange, VmId } from '@goldcrestscale/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { MemoryNetwork } from '../../../mesh/index.js';
import { TABLE_LONG_POLL_MS } from '../constants.js';
import { TableGossip, createConfigTableController } from '../index.js';

const RETENTION_MS = 600_000;
const stop = { current: new AbortController() };

beforeEach(() => {
  vi.useFakeTimers({ now: 1_700_000_000_000 });
  stop.current = new AbortController();
});
afterEach(() => {
  stop.current.abort();
  vi.useRealTimers();
});

const putZone = (id: string, state: string): RowChange => ({
  action: 'put',
  row: rowSchema.parse({ kind: 'zone', id, state }),
});

/** Log as seen by one VM, which can be cut off from it. */
class DetachableLog extends MemoryLog {
  isCut = false;

  constructor(private readonly log: MemoryLog) {
    super();
  }

  override append(values: readonly unknown[]) {
    return this.isCut
      ? Promise.reject(new LogError('log unreachable', 'refused'))
      : this.log.append(values);
  }

  override async read(...call: Parameters<MemoryLog['read']>) {
    const page = this.isCut ? undefined : await this.log.read(...call);
    if (this.isCut || !page) throw new LogError('log unreachable', 'unknown');
    return page;
  }
}

const startVm = async (log: MemoryLog, network: MemoryNetwork, name: string) => {
  const stream = new DetachableLog(log);
  const generator = createRandomGenerator(name.length);
  const table = createConfigTableController({ stream, retentionMs: RETENTION_MS, generator });
  const link = network.join({ vmId: toId<VmId>(name), bootId: toId<BootId>('boot') });
  const peers = new TableGossip({ table, link, generator });
  peers.start(stop.current.signal);
  const started = table.start(stop.current.signal);
  await vi.advanceTimersByTimeAsync(10);
  return { stream, table, started };
};

test('follows the log and tracks the age of the table', async () => {
  const log = new MemoryLog();
  const { table, started } = await startVm(log, new MemoryNetwork(), 'a');
  await started;
  await createTableEditor(log).applyChange(putZone('z1', 'in'));
  await vi.advanceTimersByTimeAsync(1);
  expect(table.table.getZone(toId('z1'))?.state).toBe('in');
  for (let count = 0; count < 50; count += 1) {
    await vi.advanceTimersByTimeAsync(199);
    // Freshness dates from the start of a read, so the age spans the current and the previous long
    // poll.
    expect(table.getAgeMs()).toBeLessThanOrEqual(2 * TABLE_LONG_POLL_MS);
  }
  expect(JSON.stringify(table.dump())).toContain('z1');
});

test('a VM cut off from the log fetches the table from a peer', async () => {
  const log = new MemoryLog();
  const network = new MemoryNetwork();
  await startVm(log, network, 'near');
  const far = await startVm(log, network, 'far');
  far.stream.isCut = true;
  await vi.advanceTimersByTimeAsync(1_500);
  await createTableEditor(log).applyChange(putZone('z1', 'in'));
  await vi.advanceTimersByTimeAsync(3_000);
  expect(far.table.isLogReadable).toBe(false);
  expect(far.table.table.getZone(toId('z1'))?.state).toBe('in');
  await vi.advanceTimersByTimeAsync(10_000);
  // Only own reads reset the age; a peer's state does not prove that it is at the head of the log.
  expect(far.table.getAgeMs()).toBeGreaterThan(13_000);
});

test('snapshots are written within the retention, and a new VM starts from one', async () => {
  const log = new MemoryLog();
  const network = new MemoryNetwork();
  await startVm(log, network, 'a');
  await startVm(log, network, 'b');
  await createTableEditor(log).applyChange(putZone('z1', 'in'));
  for (let count = 0; count < 40; count += 1) {
    await vi.advanceTimersByTimeAsync(RETENTION_MS / 8);
    log.trimOlderThan(Date.now() - RETENTION_MS);
  }
  const page = await log.read(toLogOffset(log.headOffset));
  expect(page.firstOffset).toBeGreaterThan(1);
  expect(log.headOffset).toBeLessThan(60);
  const late = await startVm(log, network, 'late');
  await late.started;
  expect(late.table.table.getZone(toId('z1'))?.state).toBe('in');
});

test('a VM that finds all records trimmed loads the table from a peer', async () => {
  const log = new MemoryLog();
  const network = new MemoryNetwork();
  const old = await startVm(log, network, 'old');
  await createTableEditor(log).applyChange(putZone('z1', 'in'));
  await vi.advanceTimersByTimeAsync(10);
  log.trim(log.headOffset);
  const fresh = await startVm(log, network, 'fresh');
  await vi.advanceTimersByTimeAsync(5_000);
  expect(fresh.table.table.getZone(toId('z1'))?.state).toBe('in');
  expect(fresh.table.offset).toBe(old.table.offset);
  expect(fresh.table.acceptPeerState({ type: 'snapshot' })).toBe(false);
});
