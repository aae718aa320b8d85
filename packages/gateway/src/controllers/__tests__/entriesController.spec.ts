import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { CrashQuarantine, EntryRoster, VersionsInUse, toId } from '@goldcrestscale/core';
import type { BootId, EntryHeartbeat } from '@goldcrestscale/core';
import { createLogger } from '@goldcrestscale/runtime';
import { buildSettings } from '../../__tests__/relayedFleet.js';
import { createTestFaults } from '../../__tests__/testFaults.js';
import { SharedLog } from '../../ports/index.js';
import type { AppendedRecord, KeyedRecord, LogBatch, LogSnapshot } from '../../ports/index.js';
import { EntriesController } from '../entriesController.js';
import type { EntriesOptions } from '../entriesController.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

class RecordingLog extends SharedLog {
  readonly appended: KeyedRecord[] = [];

  override async readSnapshot(): Promise<LogSnapshot> {
    return { era: 1, records: [], endOffset: 0 };
  }

  override async read(): Promise<LogBatch> {
    return { era: 1, records: [], nextOffset: 0, endOffset: 0 };
  }

  override async append(_topic: string, records: readonly KeyedRecord[]): Promise<void> {
    this.appended.push(...records);
  }

  override async appendAt(): Promise<AppendedRecord | undefined> {
    throw new Error('not used');
  }

  override close(): void {
    // Nothing to close.
  }
}

const isLeaving = ({ value }: KeyedRecord): boolean =>
  (JSON.parse(String(value)) as { readonly leaving: boolean }).leaving;

const createEntries = (log: SharedLog, options: Partial<EntriesOptions>): EntriesController =>
  new EntriesController({
    log,
    logger: createLogger({ part: 'test', level: 'error', format: 'json' }),
    settings: buildSettings('vm-1'),
    bootId: toId<BootId>('boot'),
    roster: new EntryRoster(),
    quarantine: new CrashQuarantine(),
    versions: new VersionsInUse(),
    onNewEra: () => undefined,
    isReportingRefusals: () => false,
    meshKey: 'key',
    faults: createTestFaults().faults,
    canServe: () => true,
    readUtilization: () => 0,
    onShareChange: () => undefined,
    readPhase: 0,
    onBatch: () => undefined,
    forwardHeartbeat: () => false,
    listForwardedHeartbeats: () => [],
    ...options,
  });

// Guards against a relay that goes on writing the last heartbeat of a VM from before it began to shut down.
test('a VM that shuts down tells the log and its relay', async () => {
  const log = new RecordingLog();
  const forwarded: KeyedRecord[] = [];
  const controller = new AbortController();
  const entries = createEntries(log, {
    forwardHeartbeat(record) {
      forwarded.push(record);
      return true;
    },
  });
  void entries.run(controller.signal);
  await vi.advanceTimersByTimeAsync(2_000);
  expect(forwarded.map(isLeaving)).toEqual([false, false]);
  expect(log.appended).toEqual([]);
  entries.leave();
  await vi.advanceTimersByTimeAsync(100);
  controller.abort();
  expect(log.appended.map(isLeaving)).toEqual([true]);
  expect(forwarded.map(isLeaving)).toEqual([false, false, true]);
});

const readHeartbeat = ({ value }: KeyedRecord): Partial<EntryHeartbeat> =>
  JSON.parse(String(value)) as Partial<EntryHeartbeat>;

// Guards against callers who are sent to a VM that has read the heartbeats, but no configuration.
test('a VM that can not serve yet tells so, names itself to no caller, and tells at once when it can', async () => {
  const log = new RecordingLog();
  const controller = new AbortController();
  let canServe = false;
  const entries = createEntries(log, { canServe: () => canServe });
  void entries.run(controller.signal);
  await vi.advanceTimersByTimeAsync(300);
  entries.checkReady();
  expect(entries.listAddresses('z1')).toEqual([]);
  canServe = true;
  entries.checkReady();
  await vi.advanceTimersByTimeAsync(50);
  entries.checkReady();
  await vi.advanceTimersByTimeAsync(50);
  controller.abort();
  expect(entries.listAddresses('z1')).toHaveLength(1);
  expect(log.appended.map((record) => readHeartbeat(record).isReady)).toEqual([false, undefined]);
});

// Guards against a call more of each VM that starts, since its configuration comes right after the heartbeats.
test('a VM that can serve soon after its start tells so with its first heartbeat', async () => {
  const log = new RecordingLog();
  const controller = new AbortController();
  let canServe = false;
  const entries = createEntries(log, { canServe: () => canServe });
  void entries.run(controller.signal);
  await vi.advanceTimersByTimeAsync(50);
  canServe = true;
  entries.checkReady();
  await vi.advanceTimersByTimeAsync(1_000);
  controller.abort();
  expect(log.appended.map((record) => readHeartbeat(record).isReady)).toEqual([undefined]);
});

// Guards against shares that follow the short times between heartbeats which are published early.
test('a VM tells how many callers it wants by what was in use between its regular heartbeats', async () => {
  const log = new RecordingLog();
  const controller = new AbortController();
  const shares: number[] = [];
  let reads = 0;
  const entries = createEntries(log, {
    onShareChange: (share) => shares.push(share),
    readUtilization() {
      reads += 1;
      return 1;
    },
  });
  void entries.run(controller.signal);
  for (let beat = 0; beat < 3; beat += 1) {
    await vi.advanceTimersByTimeAsync(1_300);
    entries.publishHeartbeat();
    await vi.advanceTimersByTimeAsync(100);
    entries.publishHeartbeat();
  }
  controller.abort();
  expect(reads).toBeLessThanOrEqual(4);
  expect(shares).toEqual([0.625, 0.5]);
  expect(readHeartbeat(log.appended.at(-1)!).callerShare).toBe(0.5);
});
