import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

export type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** Settings of a backoff. */
export interface BackoffOptions {
  /** Upper bound of the first delay, in milliseconds. */
  readonly initialMs: number;
  /** Upper bound of every delay, in milliseconds. */
  readonly maxMs: number;
  readonly generator: RandomGenerator;
}

/** Retry delays that increase with each failure. */
export interface Backoff {
  /** Returns the delay before the next attempt, in milliseconds. */
  nextDelayMs(): number;
  /** Returns to the initial delay after a success. */
  reset(): void;
}

/** Creates an exponential backoff with jitter; each delay is drawn from the upper half of its range. */
export const createBackoff = ({ initialMs, maxMs, generator }: BackoffOptions): Backoff => {
  let failureCount = 0;
  return {
    nextDelayMs() {
      const ceilingMs = Math.min(maxMs, initialMs * 2 ** failureCount);
      failureCount += 1;
      return ceilingMs * (0.5 + 0.5 * uniformFloat64(generator));
    },
    reset() {
      failureCount = 0;
    },
  };
};
