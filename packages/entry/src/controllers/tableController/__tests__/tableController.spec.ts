import {
  LogError,
  MemoryLog,
  createGenerator,
  createTableEditor,
  rowSchema,
  toId,
  toLogOffset,
} from '@goldcrestscale/core';
import type { BootId, RowChange, VmId } from '@goldcrestscale/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { MemoryNetwork } from '../../../mesh/index.js';
import { TABLE_POLL_WAIT_MS } from '../constants.js';
import { TablePeers, createTableController } from '../index.js';

const RETENTION_MS = 600_000;
const ending = { current: new AbortController() };

beforeEach(() => {
  vi.useFakeTimers({ now: 1_700_000_000_000 });
  ending.current = new AbortController();
});
afterEach(() => {
  ending.current.abort();
  vi.useRealTimers();
});

const putZone = (id: string, state: string): RowChange => ({
  action: 'put',
  row: rowSchema.parse({ kind: 'zone', id, state }),
});

/** View of the log of one VM, which can be cut off. */
class CutLog extends MemoryLog {
  cut = false;

  constructor(private readonly log: MemoryLog) {
    super();
  }

  override append(values: readonly unknown[]) {
    return this.cut ? Promise.reject(new LogError('cut', 'refused')) : this.log.append(values);
  }

  override async read(...call: Parameters<MemoryLog['read']>) {
    const page = this.cut ? undefined : await this.log.read(...call);
    if (this.cut || !page) throw new LogError('cut', 'unknown');
    return page;
  }
}

const startVm = async (log: MemoryLog, network: MemoryNetwork, name: string) => {
  const stream = new CutLog(log);
  const generator = createGenerator(name.length);
  const table = createTableController({ stream, retentionMs: RETENTION_MS, generator });
  const link = network.join({ vmId: toId<VmId>(name), bootId: toId<BootId>('boot') });
  const peers = new TablePeers({ table, link, generator });
  peers.start(ending.current.signal);
  const started = table.start(ending.current.signal);
  await vi.advanceTimersByTimeAsync(10);
  return { stream, table, started };
};

test('follows the log and knows its age', async () => {
  const log = new MemoryLog();
  const { table, started } = await startVm(log, new MemoryNetwork(), 'a');
  await started;
  await createTableEditor(log).applyChange(putZone('z1', 'in'));
  await vi.advanceTimersByTimeAsync(1);
  expect(table.table.getZone(toId('z1'))?.state).toBe('in');
  for (let count = 0; count < 50; count += 1) {
    await vi.advanceTimersByTimeAsync(199);
    // The read under way counts from when it was sent, and the one before it as well.
    expect(table.getAgeMs()).toBeLessThanOrEqual(2 * TABLE_POLL_WAIT_MS);
  }
  expect(JSON.stringify(table.dump())).toContain('z1');
});

test('VM cut off from the log gets the table from a peer', async () => {
  const log = new MemoryLog();
  const network = new MemoryNetwork();
  await startVm(log, network, 'near');
  const far = await startVm(log, network, 'far');
  far.stream.cut = true;
  await vi.advanceTimersByTimeAsync(1_500);
  await createTableEditor(log).applyChange(putZone('z1', 'in'));
  await vi.advanceTimersByTimeAsync(3_000);
  expect(far.table.isLogReadable).toBe(false);
  expect(far.table.table.getZone(toId('z1'))?.state).toBe('in');
  await vi.advanceTimersByTimeAsync(10_000);
  // The age is that of the own reads; a peer's state says nothing of the log's head.
  expect(far.table.getAgeMs()).toBeGreaterThan(13_000);
});

test('snapshots go before retention and a new VM starts from one', async () => {
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

test('VM whose records are all trimmed waits for a peer', async () => {
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
