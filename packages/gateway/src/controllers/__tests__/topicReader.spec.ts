import { createLogger } from '@goldcrestscale/runtime';
import { afterEach, beforeEach, expect, onTestFinished, test, vi } from 'vitest';
import { ScriptedLog, makeRecord, startReader } from '../../__tests__/scriptedLog.js';
import type { RelayedBatch } from '../../mesh/feedMessage.js';
import { TopicReader } from '../topicReader.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

// Guards against entries that expired in an outage and are dropped before the outage is known to be over.
test('a refresh reports the end of an outage before the records that it read', async () => {
  const log = new ScriptedLog();
  log.responses.push(new Error('no response'));
  const { events, reader, end } = startReader(log);
  await vi.advanceTimersByTimeAsync(150);
  log.responses.push({ records: [makeRecord('a')], nextOffset: 11, endOffset: 11, era: 1 });
  await reader.refresh();
  end();
  expect(events).toEqual(['snapshot:first', 'down', 'return', 'a']);
});

test('a refresh reads to the end that the log had, and past a batch of the relay', async () => {
  const log = new ScriptedLog();
  const { events, reader, end } = startReader(log);
  await vi.advanceTimersByTimeAsync(10);
  const relayed = { topic: 'upstreams', era: 1, from: 10, next: 11, records: [makeRecord('a')] };
  const read = log.read.bind(log);
  vi.spyOn(log, 'read').mockImplementation((topic, from) => {
    reader.applyRelayed(relayed as RelayedBatch);
    return read(topic, from);
  });
  log.responses.push(
    { records: [makeRecord('a'), makeRecord('b')], nextOffset: 12, endOffset: 13, era: 1 },
    { records: [makeRecord('c')], nextOffset: 13, endOffset: 20, era: 1 },
  );
  await reader.refresh();
  expect(events).toEqual(['snapshot:first', 'a', 'b', 'c']);
  log.responses.push({ records: [], nextOffset: 13, endOffset: 20, era: 1 });
  await expect(reader.refresh()).rejects.toThrow('before the end');
  end();
});

const LONG_POLL_MS = 1_600;

/** Starts a reader without pauses; notes the moments up to which it knows all records. */
const startPatientReader = (log: ScriptedLog) => {
  const provedAtMs: number[] = [];
  const reader = new TopicReader({
    log,
    topic: 'operators',
    logger: createLogger({ part: 'test', level: 'error', format: 'json' }),
    getLongPollMs: () => LONG_POLL_MS,
    getPauseMs: () => 0,
    timing: { boundMs: 2_000, maxProofAgeMs: 1_150, readSpreadMs: 0, readMs: 250, sendMs: 100 },
    onSnapshot: () => undefined,
    onRecords: () => undefined,
    onCaughtUp: ({ monotonicMs }) => provedAtMs.push(monotonicMs),
  });
  const controller = new AbortController();
  onTestFinished(() => controller.abort());
  void reader.run(controller.signal);
  return provedAtMs;
};

// Guards against a log that answers at once, which is read without a pause and leaves no time for requests.
test('a log that does not wait is read at a bounded rate', async () => {
  const log = new ScriptedLog();
  startPatientReader(log);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(log.reads.length).toBeGreaterThan(5);
  expect(log.reads.length).toBeLessThanOrEqual(10);
});

// Guards against an empty answer that came early and counts as proof of a moment that is not over yet.
test('a log that does not wait proves nothing about the time after its answer', async () => {
  const provedAtMs = startPatientReader(new ScriptedLog());
  await vi.advanceTimersByTimeAsync(1_000);
  expect(Math.max(...provedAtMs)).toBeLessThanOrEqual(performance.now());
});
