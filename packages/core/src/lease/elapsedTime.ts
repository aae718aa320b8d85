import { CLOCK_RATE_TOLERANCE } from './constants.js';

/** A reading of this process's clocks; only differences are meaningful. */
export interface Moment {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

export const getNow = (): Moment => ({ monotonicMs: performance.now(), wallMs: Date.now() });

/** Shifts a clock reading by a duration, but never past the current time. */
export const advanceMoment = (from: Moment, byMs: number): Moment => {
  const now = getNow();
  return {
    monotonicMs: Math.min(now.monotonicMs, from.monotonicMs + byMs),
    wallMs: Math.min(now.wallMs, from.wallMs + byMs),
  };
};

/**
 * Computes an upper bound of the time elapsed since a clock reading. The monotonic clock stops
 * while a machine is suspended and the wall clock may be set back, so the larger difference is used.
 */
export const computeLongestElapsed = (since: Moment): number => {
  const now = getNow();
  const elapsedMs = Math.max(now.monotonicMs - since.monotonicMs, now.wallMs - since.wallMs);
  return elapsedMs * (1 + CLOCK_RATE_TOLERANCE);
};

/** Computes a lower bound of the time elapsed since a clock reading. */
export const computeShortestElapsed = (since: Moment): number =>
  (performance.now() - since.monotonicMs) * (1 - CLOCK_RATE_TOLERANCE);
