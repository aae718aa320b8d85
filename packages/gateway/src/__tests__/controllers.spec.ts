import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { getNow } from '@goldcrestscale/core';
import { createLogger } from '@goldcrestscale/runtime';
import { resolveGatewaySettings } from '../config.js';
import { decodeHeartbeat } from '../controllers/heartbeatRecord.js';
import { Shutdown } from '../controllers/shutdown.js';
import { TopicReader } from '../controllers/topicReader.js';
import { RequestLog } from '../decisionLog.js';
import { LogTrimmedError, SharedLog } from '../ports/index.js';
import type { KeyedRecord, LogBatch, LogSnapshot } from '../ports/index.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const logger = createLogger({ part: 'test', level: 'error', format: 'json' });

const makeRecord = (key: string): KeyedRecord => ({ key, value: Buffer.from('1') });

/** A log whose next answers are given by the test. */
class ScriptedLog extends SharedLog {
  readonly answers: (Error | LogBatch)[] = [];

  readonly reads: number[] = [];

  snapshot: LogSnapshot = { records: [makeRecord('first')], end: 10 };

  override async readNewest(): Promise<LogSnapshot> {
    return this.snapshot;
  }

  override async read(_topic: string, from: number): Promise<LogBatch> {
    this.reads.push(from);
    const answer = this.answers.shift() ?? { records: [], next: from };
    if (answer instanceof Error) throw answer;
    return answer;
  }

  override async append(): Promise<void> {
    throw new Error('not used');
  }

  override async appendAt(): Promise<number | undefined> {
    throw new Error('not used');
  }

  override close(): void {
    // Nothing is open.
  }
}

const startReader = (log: ScriptedLog) => {
  const seen: string[] = [];
  const reader = new TopicReader({
    log,
    topic: 'operators',
    logger,
    getLongPollMs: () => 0,
    getPauseMs: () => 100,
    onSnapshot: (records) => seen.push(`snapshot:${records.map(({ key }) => key).join()}`),
    onRecords: (records) => records.forEach(({ key }) => seen.push(key)),
    onOutage: () => seen.push('down'),
    onRecovery: () => seen.push('return'),
  });
  const ended = new AbortController();
  void reader.run(ended.signal);
  return { seen, reader, end: () => ended.abort() };
};

test('a topic is read from its newest records on', async () => {
  const log = new ScriptedLog();
  log.answers.push({ records: [makeRecord('a'), makeRecord('b')], next: 12 });
  const { seen, end } = startReader(log);
  await vi.advanceTimersByTimeAsync(250);
  end();
  expect(seen).toEqual(['snapshot:first', 'a', 'b']);
  expect(log.reads).toEqual([10, 12]);
});

test('a topic whose history is gone is read anew', async () => {
  const log = new ScriptedLog();
  log.answers.push(new LogTrimmedError('gone'));
  const { seen, end } = startReader(log);
  await vi.advanceTimersByTimeAsync(120);
  log.snapshot = { records: [makeRecord('later')], end: 50 };
  await vi.advanceTimersByTimeAsync(400);
  end();
  expect(seen).toEqual(['snapshot:first', 'snapshot:later']);
  expect(log.reads.at(-1)).toBe(50);
});

test('while a relay tells what it reads, nothing is asked of the log', async () => {
  const log = new ScriptedLog();
  const { seen, reader, end } = startReader(log);
  await vi.advanceTimersByTimeAsync(10);
  const position = { topic: 'operators', position: 10, provedAgeMs: 50 } as const;
  reader.recordRelayPosition(position, getNow());
  const readsBefore = log.reads.length;
  const records = [makeRecord('known'), makeRecord('new')];
  reader.applyRelayed({ topic: 'operators', from: 9, next: 11, records });
  await vi.advanceTimersByTimeAsync(600);
  expect(log.reads.length).toBe(readsBefore);
  expect(seen).toEqual(['snapshot:first', 'new']);
  await vi.advanceTimersByTimeAsync(600);
  end();
  expect(log.reads.at(-1)).toBe(11);
});

test('a relay that is ahead, or has not read for long, replaces no read', async () => {
  const log = new ScriptedLog();
  const { seen, reader, end } = startReader(log);
  await vi.advanceTimersByTimeAsync(10);
  reader.applyRelayed({ topic: 'operators', from: 12, next: 13, records: [makeRecord('far')] });
  reader.recordRelayPosition({ topic: 'operators', position: 13, provedAgeMs: 0 }, getNow());
  reader.recordRelayPosition({ topic: 'operators', position: 10, provedAgeMs: 5_000 }, getNow());
  const readsBefore = log.reads.length;
  await vi.advanceTimersByTimeAsync(300);
  end();
  expect(log.reads.length).toBeGreaterThan(readsBefore);
  expect(seen).toEqual(['snapshot:first']);
});

test('an outage is told once, and its end before the records that follow', async () => {
  const log = new ScriptedLog();
  log.answers.push(new Error('no answer'), new Error('no answer'), {
    records: [makeRecord('a')],
    next: 11,
  });
  const { seen, end } = startReader(log);
  await vi.advanceTimersByTimeAsync(1_200);
  end();
  expect(seen).toEqual(['snapshot:first', 'down', 'down', 'return', 'a']);
});

test('a shutdown refuses new requests before its end', () => {
  const shutdown = new Shutdown(8_000);
  expect([shutdown.isLeaving, shutdown.isRefusing, shutdown.isOver]).toEqual([false, false, false]);
  shutdown.start();
  vi.advanceTimersByTime(2_700);
  expect([shutdown.isLeaving, shutdown.isRefusing]).toEqual([true, false]);
  // A request that is taken later than three seconds after the signal must not be cut.
  vi.advanceTimersByTime(250);
  expect([shutdown.isRefusing, shutdown.isOver]).toEqual([true, false]);
  vi.advanceTimersByTime(5_000);
  expect(shutdown.isOver).toBe(true);
});

test('the rate of lines is bounded, and what is left out is counted', () => {
  const lines: unknown[] = [];
  const counting = {
    ...logger,
    info: (_message: string, fields?: object) => lines.push(fields),
  };
  const requestLog = new RequestLog(counting);
  for (let count = 0; count < 500; count += 1) requestLog.log('line', { count });
  expect(lines).toHaveLength(80);
  vi.advanceTimersByTime(1_000);
  requestLog.log('line', {});
  expect(lines.at(-1)).toMatchObject({ leftOut: 420 });
  for (let count = 0; count < 500; count += 1) requestLog.log('late', { count });
  requestLog.log('line', { isFailure: true });
  expect(lines.at(-1)).toEqual({ isFailure: true });
});

test('a heartbeat that is not whole is none', () => {
  expect(decodeHeartbeat(makeRecord('vm'))).toBeUndefined();
  expect(decodeHeartbeat({ key: 'vm', value: Buffer.from('{"vmId":"a"}') })).toBeUndefined();
  expect(decodeHeartbeat({ key: 'vm', value: undefined })).toBeUndefined();
});

const settings = {
  vmId: 'vm-1',
  availabilityZone: 'z1',
  zones: { z1: 'r1' },
  listen: {
    callers: '10.0.0.1:1',
    readiness: '10.0.0.1:2',
    directory: '10.0.0.1:3',
    mesh: '10.0.0.1:4',
  },
  log: { address: '10.0.0.9:5', leaseMs: 3_000 },
  bounds: {
    shutdownSeconds: 8,
    retryRatio: 0.2,
    retryAllowance: 54,
    retryWindowSeconds: 10,
    coldOverrun: 1.5,
    coldSlack: 5,
    weightsInForceMs: 10_000,
    directoryTtlSeconds: 5,
  },
};

test('settings are resolved into units of their own, and unknown fields are left out', () => {
  const resolved = resolveGatewaySettings({ ...settings, later: true });
  expect(resolved.bounds.shutdownMs).toBe(8_000);
  expect(resolved.regions.get('z1' as never)).toBe('r1');
});

test('settings that can not be used name every problem and its place', () => {
  const broken = { ...settings, vmId: '', listen: { ...settings.listen, callers: 'nowhere' } };
  expect(() => resolveGatewaySettings(broken)).toThrow(/vmId.*listen\.callers/s);
});
