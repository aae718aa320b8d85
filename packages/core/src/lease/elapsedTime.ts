import { CLOCK_RATE_TOLERANCE } from './constants.js';

/** A moment by the clocks of this process; only differences are meaningful. */
export interface Moment {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Reads both clocks. */
export const getNow = (): Moment => ({ monotonicMs: performance.now(), wallMs: Date.now() });

/** Gives a moment some time later, but never one that is still to come. */
export const advanceMoment = (from: Moment, byMs: number): Moment => {
  const now = getNow();
  return {
    monotonicMs: Math.min(now.monotonicMs, from.monotonicMs + byMs),
    wallMs: Math.min(now.wallMs, from.wallMs + byMs),
  };
};

/**
 * Computes the longest time that may have passed since a moment. The monotonic clock stands still
 * while a machine is suspended and the wall clock may be set back, so the larger one counts.
 */
export const computeLongestElapsed = (since: Moment): number => {
  const now = getNow();
  const elapsedMs = Math.max(now.monotonicMs - since.monotonicMs, now.wallMs - since.wallMs);
  return elapsedMs * (1 + CLOCK_RATE_TOLERANCE);
};

/** Computes the shortest time that may have passed since a moment. */
export const computeShortestElapsed = (since: Moment): number =>
  (performance.now() - since.monotonicMs) * (1 - CLOCK_RATE_TOLERANCE);
