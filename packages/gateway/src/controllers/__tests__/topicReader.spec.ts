import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { ScriptedLog, makeRecord, startReader } from '../../__tests__/scriptedLog.js';
import type { RelayedBatch } from '../../mesh/feedMessage.js';

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
