import { MAX_CLOCK_RATE_DRIFT } from './constants.js';

/** A reading of this process's clocks; only differences are meaningful. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

export const readClocks = (): ClockReading => ({
  monotonicMs: performance.now(),
  wallMs: Date.now(),
});

/** Shifts a clock reading by a duration, but never past the current time. */
export const advanceClockReading = (from: ClockReading, byMs: number): ClockReading => {
  const now = readClocks();
  return {
    monotonicMs: Math.min(now.monotonicMs, from.monotonicMs + byMs),
    wallMs: Math.min(now.wallMs, from.wallMs + byMs),
  };
};

/**
 * Computes an upper bound of the time elapsed since a clock reading. The monotonic clock stops
 * while a machine is suspended and the wall clock may be set back, so the larger difference is used.
 */
export const computeMaxElapsedMs = (since: ClockReading): number => {
  const now = readClocks();
  const elapsedMs = Math.max(now.monotonicMs - since.monotonicMs, now.wallMs - since.wallMs);
  return elapsedMs * (1 + MAX_CLOCK_RATE_DRIFT);
};

/** Computes a lower bound of the time elapsed since a clock reading. */
export const computeMinElapsedMs = (since: ClockReading): number =>
  (performance.now() - since.monotonicMs) * (1 - MAX_CLOCK_RATE_DRIFT);
