import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

export type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** Settings of a back-off. */
export interface BackoffOptions {
  /** Largest first delay, in milliseconds. */
  readonly initialMs: number;
  /** Largest delay, in milliseconds. */
  readonly maxMs: number;
  readonly generator: RandomGenerator;
}

/** Delays between attempts that grow with each failure. */
export interface Backoff {
  /** Gives the delay before the next attempt, in milliseconds. */
  nextDelayMs(): number;
  /** Begins again after a success. */
  reset(): void;
}

/** Creates an exponential back-off; each delay is drawn from the upper half of its range. */
export const createBackoff = ({ initialMs, maxMs, generator }: BackoffOptions): Backoff => {
  let failures = 0;
  return {
    nextDelayMs() {
      const ceilingMs = Math.min(maxMs, initialMs * 2 ** failures);
      failures += 1;
      return ceilingMs * (0.5 + 0.5 * uniformFloat64(generator));
    },
    reset() {
      failures = 0;
    },
  };
};
