import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { sleep } from '@goldcrestscale/core';
import { ByteBudget } from '@goldcrestscale/runtime';
import { readEventStream } from '../eventStream.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const MEMORY = { budget: new ByteBudget(1_000_000), onRefused: () => undefined };

/** Gives a text again and again, at an interval. */
async function* repeatText(text: string, intervalMs: number, count: number, end = '') {
  for (let index = 0; index < count; index += 1) {
    await sleep(intervalMs);
    yield Buffer.from(text);
  }
  if (end !== '') yield Buffer.from(end);
}

/** Reads a stream for as long as it takes. */
const read = async (body: AsyncIterable<Uint8Array>) => {
  const events: string[] = [];
  let end: string | undefined;
  const startedAtMs = performance.now();
  void readEventStream(body, MEMORY, (data) => {
    events.push(data);
    return Promise.resolve();
  }).then((outcome) => {
    end = outcome;
  });
  while (end === undefined && performance.now() - startedAtMs < 3_600_000) {
    await vi.advanceTimersByTimeAsync(1_000);
  }
  return { end, events: events.length, elapsedMs: performance.now() - startedAtMs };
};

// Guards against streams that stand still and are kept for ever by a byte now and then.
test.each([':', '\n', 'data: x'])(
  'a stream that sends only %j now and then is broken',
  async (text) => {
    const { end, elapsedMs } = await read(repeatText(text, 10_000, 1_000));
    expect(end).toBe('broken');
    expect(elapsedMs).toBeLessThan(60_000);
  },
);

// Guards against the opposite: slow streams that are sound must not be cut.
test('a stream with an event in each 20 s is whole', async () => {
  const body = repeatText('data: x\n\n', 20_000, 30, 'data: [DONE]\n\n');
  expect(await read(body)).toMatchObject({ end: 'whole', events: 30 });
});
