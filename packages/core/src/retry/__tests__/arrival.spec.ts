import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { MAX_UNREACHED_TRIES_PER_SECOND, UnreachedTries, canHaveArrived } from '../index.js';
import type { SendEnd } from '../index.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const ARRIVALS: Readonly<Record<SendEnd, boolean>> = {
  unreachable: false,
  withheld: false,
  dropped: false,
  rejected: true,
  answered: true,
  lost: true,
};

// Guards against a charge for a send that left no trace, and against repeats that nothing pays for.
test.each(Object.entries(ARRIVALS))(
  'a send that ended as %s may have arrived: %s',
  (end, arrived) => {
    expect(canHaveArrived(end as SendEnd)).toBe(arrived);
  },
);

// Guards against a storm of connects when a whole zone is gone.
test('tries after failed connects are limited in every second', () => {
  const tries = new UnreachedTries();
  const takenAtMs: number[] = [];
  for (let step = 0; step < 300; step += 1) {
    while (tries.tryTake()) takenAtMs.push(performance.now());
    const sinceMs = performance.now() - 1_000;
    expect(takenAtMs.filter((atMs) => atMs > sinceMs)).toHaveLength(MAX_UNREACHED_TRIES_PER_SECOND);
    vi.advanceTimersByTime(10);
  }
});
