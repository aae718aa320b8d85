import { afterEach, beforeEach, expect, onTestFinished, test, vi } from 'vitest';
import { BegunStreams, VersionsInUse, toId } from '@goldcrestscale/core';
import type {
  BegunStream,
  RequestId,
  ServiceName,
  SoftwareVersion,
  VmId,
} from '@goldcrestscale/core';
import { createLogger } from '@goldcrestscale/runtime';
import { createTestFaults } from '../../__tests__/testFaults.js';
import { LogTrimmedError, SharedLog } from '../../ports/index.js';
import type { AppendedRecord, KeyedRecord, LogBatch, LogSnapshot } from '../../ports/index.js';
import { StreamRecordsController } from '../streamRecordsController.js';

const service = toId<ServiceName>('service');
const [v1, v2] = ['v1', 'v2'].map((name) => toId<SoftwareVersion>(name)) as [
  SoftwareVersion,
  SoftwareVersion,
];

const READ_MS = 4;

/** A topic whose records may be trimmed, or lost when it comes back from a copy. */
class StreamLog extends SharedLog {
  records: KeyedRecord[] = [];

  appends = 0;

  reads = 0;

  firstOffset = 0;

  era = 1;

  isDown = false;

  override async readSnapshot(): Promise<LogSnapshot> {
    throw new Error('not used');
  }

  override async read(_topic: string, from: number): Promise<LogBatch> {
    this.reads += 1;
    await new Promise((resolve) => {
      setTimeout(resolve, READ_MS);
    });
    if (this.isDown) throw new Error('down');
    if (from < this.firstOffset || from > this.records.length) {
      throw new LogTrimmedError('trimmed', this.firstOffset);
    }
    const records = this.records.slice(from, from + 2);
    const nextOffset = from + records.length;
    return { era: this.era, records, nextOffset, endOffset: this.records.length };
  }

  override async append(_topic: string, records: readonly KeyedRecord[]): Promise<void> {
    this.appends += 1;
    if (this.isDown) throw new Error('down');
    this.records.push(...records);
  }

  override async appendAt(): Promise<AppendedRecord | undefined> {
    throw new Error('not used');
  }

  override close(): void {
    // Nothing to close.
  }
}

/** Starts the controller of a VM, for which versions serve. */
const startVm = (
  log: SharedLog,
  served: readonly SoftwareVersion[],
  forwardRecord: (record: KeyedRecord) => boolean = () => false,
) => {
  const versions = new VersionsInUse();
  versions.recordFirstReports([]);
  served.forEach((version) => versions.recordRegistered(service, version));
  const abortController = new AbortController();
  onTestFinished(() => abortController.abort());
  const controller = new StreamRecordsController({
    self: toId<VmId>('vm'),
    log,
    logger: createLogger({ part: 'test', level: 'error', format: 'json' }),
    faults: createTestFaults().faults,
    streams: new BegunStreams(),
    versions,
    forwardRecord,
  });
  controller.start(abortController.signal);
  const find = async (name: string): Promise<SoftwareVersion | undefined> => {
    const found = controller.find(toId<RequestId>(name), abortController.signal);
    await vi.advanceTimersByTimeAsync(1_000);
    return (await found)?.version;
  };
  return { controller, versions, find };
};

const makeStream = (name: string, version = v1): BegunStream => ({
  requestId: toId<RequestId>(name),
  service,
  version,
  account: undefined,
});

const settle = (): Promise<unknown> => vi.advanceTimersByTimeAsync(1_000);

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

// Guards against streams whose version is lost with all VMs.
test('a VM that has just started finds which version began a stream', async () => {
  const log = new StreamLog();
  const first = startVm(log, [v1, v2]);
  for (let index = 0; index < 9; index += 1) {
    first.controller.recordBegun(makeStream(`a${index}`, index % 2 === 0 ? v1 : v2));
    await settle();
  }
  const restarted = startVm(log, [v2]);
  expect(await restarted.find('a0')).toBe(v1);
  expect(await restarted.find('a7')).toBe(v2);
  expect(await restarted.find('other')).toBeUndefined();
});

test('streams begun together are one record', async () => {
  const log = new StreamLog();
  const { controller } = startVm(log, [v1, v2]);
  for (let index = 0; index < 50; index += 1) controller.recordBegun(makeStream(`a${index}`));
  await settle();
  expect([log.appends, log.records.length]).toEqual([1, 1]);
});

// Guards against calls of the log for each stream of a fleet with one version.
test('nothing is written while one version serves, and all live streams once there are two', async () => {
  const log = new StreamLog();
  const { controller, versions } = startVm(log, [v1]);
  controller.recordBegun(makeStream('old'));
  await vi.advanceTimersByTimeAsync(21_000);
  controller.recordBegun(makeStream('live'));
  await settle();
  expect(log.appends).toBe(0);
  versions.recordRegistered(service, v1);
  versions.recordRegistered(service, v2);
  controller.checkVersions();
  await settle();
  const other = startVm(log, [v1, v2]);
  expect(await other.find('live')).toBe(v1);
  expect(await other.find('old')).toBeUndefined();
});

// Guards against records that were lost with a relay, or that a copy of the log does not have.
test('streams are written again after a relay or the log has lost them', async () => {
  const log = new StreamLog();
  let isForwarding = true;
  const { controller } = startVm(log, [v1, v2], () => isForwarding);
  controller.recordBegun(makeStream('a'));
  await settle();
  expect(log.records).toEqual([]);
  isForwarding = false;
  controller.rewrite();
  await settle();
  expect(await startVm(log, [v1, v2]).find('a')).toBe(v1);
});

test('a relay appends the records of its followers', async () => {
  const log = new StreamLog();
  const relay = startVm(log, [v1, v2]);
  const follower = startVm(log, [v1, v2], (record) => {
    relay.controller.relayRecord(record);
    return true;
  });
  follower.controller.recordBegun(makeStream('a'));
  await settle();
  expect(log.appends).toBe(1);
  expect(await startVm(log, [v1, v2]).find('a')).toBe(v1);
});

test('a log that is away leaves a stream unknown, and is written to again', async () => {
  const log = new StreamLog();
  const { controller } = startVm(log, [v1, v2]);
  log.isDown = true;
  controller.recordBegun(makeStream('a'));
  await settle();
  const other = startVm(log, [v1, v2]);
  expect(await other.find('a')).toBeUndefined();
  log.isDown = false;
  await settle();
  expect(await other.find('a')).toBe(v1);
});

test('records are found after older ones were trimmed, and in another era', async () => {
  const log = new StreamLog();
  const { controller } = startVm(log, [v1, v2]);
  const other = startVm(log, [v1, v2]);
  controller.recordBegun(makeStream('a'));
  await settle();
  controller.recordBegun(makeStream('b'));
  await settle();
  log.firstOffset = 1;
  expect(await other.find('b')).toBe(v1);
  Object.assign(log, { firstOffset: 0, records: [], era: 2 });
  controller.rewrite();
  await settle();
  controller.recordBegun(makeStream('c', v2));
  await settle();
  expect(await other.find('c')).toBe(v2);
});

// Guards against one read of the log for each of many callers that come back at once.
test('callers that come back together share the reads', async () => {
  const log = new StreamLog();
  const { controller, find } = startVm(log, [v1, v2]);
  controller.relayRecord({ key: 'vm', value: Buffer.from([0xc1]) });
  await settle();
  const finds = Array.from({ length: 40 }, (_, index) => find(`unknown-${index}`));
  expect(await Promise.all(finds)).toEqual(finds.map(() => undefined));
  expect(log.reads).toBeLessThan(12);
});

// Guards against a relay whose memory is filled by its followers' records while the log is away.
test('records that wait for the log are bounded by their size, and the newest are kept', async () => {
  const log = new StreamLog();
  const { controller } = startVm(log, [v1, v2]);
  log.isDown = true;
  for (let index = 0; index < 40; index += 1) {
    controller.relayRecord({ key: `vm-${index}`, value: Buffer.alloc(1_000_000, index) });
  }
  await settle();
  log.isDown = false;
  await settle();
  await settle();
  const bytes = log.records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
  expect(bytes).toBeLessThanOrEqual(8 * 1024 * 1024);
  expect(log.records.map(({ key }) => key)).toEqual(
    Array.from({ length: 8 }, (_, index) => `vm-${32 + index}`),
  );
});

/** A topic that has more records behind any that are read. */
class EndlessLog extends StreamLog {
  /** @param endOffset what it tells as its end; undefined for one that moves on */
  constructor(private readonly endOffset?: number) {
    super();
  }

  override async read(topic: string, from: number): Promise<LogBatch> {
    this.records.push({ key: 'vm', value: undefined });
    this.records.length = from + 2;
    this.records.fill({ key: 'vm', value: undefined }, from);
    const batch = await super.read(topic, from);
    return { ...batch, endOffset: this.endOffset ?? from + 100 };
  }
}

const LOOKUP_MS = 60_000;

// Guards against reads that never end once a stream was looked up, and look-ups that wait behind them.
test.each([undefined, Number.MAX_SAFE_INTEGER])(
  'a log without end is not read for ever (its end: %s)',
  async (endOffset) => {
    const log = new EndlessLog(endOffset);
    const { find } = startVm(log, [v1, v2]);
    expect(await find('other')).toBeUndefined();
    await vi.advanceTimersByTimeAsync(LOOKUP_MS);
    const readsBefore = log.reads;
    await vi.advanceTimersByTimeAsync(LOOKUP_MS);
    expect(log.reads).toBe(readsBefore);
  },
);

// Guards against a log that names one offset after the other and is asked without end.
test('a log that has trimmed every offset it names is asked a few times', async () => {
  const log = new StreamLog();
  log.read = async (_topic, from) => {
    log.reads += 1;
    if (log.reads > 1_000) throw new Error('asked too often');
    throw new LogTrimmedError('trimmed', from + 1);
  };
  const { find } = startVm(log, [v1, v2]);
  expect(await find('other')).toBeUndefined();
  expect(log.reads).toBeLessThan(20);
});
