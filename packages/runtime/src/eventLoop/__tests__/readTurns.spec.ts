import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { ReadTurns } from '../readTurns.js';

const LARGE = 64_000;
const SMALL = 500;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setImmediate', 'performance'] });
});
afterEach(() => {
  vi.useRealTimers();
});

const createTurns = () => new ReadTurns({ maxBytes: LARGE, spanMs: 5, minBytes: 16_000 });

// Answers the load of many responses at full speed, each of which a turn would read until it is over.
test('connections that read much go on one in a turn, in their order', () => {
  const turns = createTurns();
  const order: number[] = [];
  expect(turns.tryTake(LARGE)).toBe(true);
  for (let index = 0; index < 3; index += 1) {
    expect(turns.tryTake(LARGE)).toBe(false);
    turns.wait(() => order.push(index));
  }
  expect(order).toEqual([]);
  vi.advanceTimersToNextTimer();
  expect(order).toEqual([0]);
  // One that comes later stays behind those that wait, also in another span.
  vi.advanceTimersByTime(0);
  expect(turns.tryTake(LARGE)).toBe(false);
  turns.wait(() => order.push(3));
  vi.runAllTimers();
  expect(order).toEqual([0, 1, 2, 3]);
  expect(vi.getTimerCount()).toBe(0);
});

// Guards against sound streams that wait behind others, and calm connections that wait at all.
test('small reads, and large ones with time between them, never wait', () => {
  const turns = createTurns();
  for (let count = 0; count < 1_000; count += 1) expect(turns.tryTake(SMALL)).toBe(true);
  expect(turns.tryTake(LARGE)).toBe(false);
  for (let count = 0; count < 10; count += 1) {
    vi.advanceTimersByTime(5);
    expect(turns.tryTake(LARGE)).toBe(true);
  }
  expect(vi.getTimerCount()).toBe(0);
});
