import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { PartAllowance } from '../partAllowance.js';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const countTaken = (allowance: PartAllowance, partBytes: number, parts: number): number => {
  let taken = 0;
  for (let count = 0; count < parts; count += 1) if (allowance.tryTake(partBytes)) taken += 1;
  return taken;
};

// Guards against a peer that keeps the process from all others with a body in chunks of one byte.
test('a message in parts of one byte has a bounded number of them', () => {
  expect(countTaken(new PartAllowance(), 1, 100_000)).toBeLessThan(4_200);
});

test('a message in parts of 64 bytes or more may have any number of them', () => {
  expect(countTaken(new PartAllowance(), 64, 100_000)).toBe(100_000);
});

test('a message in small parts may have as many as a slow peer sends', () => {
  const allowance = new PartAllowance();
  for (let second = 0; second < 60; second += 1) {
    expect(countTaken(allowance, 4, 1_000)).toBe(1_000);
    vi.advanceTimersByTime(1_000);
  }
});
