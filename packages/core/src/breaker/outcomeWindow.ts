import { FAILURE_RATE_WINDOW_MS } from './constants.js';

/** Number of outcomes, and of the failures among them. */
export interface OutcomeCounts {
  readonly outcomes: number;
  readonly failures: number;
}

const NO_OUTCOMES: OutcomeCounts = { outcomes: 0, failures: 0 };

const HALF_WINDOW_MS = FAILURE_RATE_WINDOW_MS / 2;

/** Adds counts, or subtracts them. */
export const addCounts = (
  left: OutcomeCounts,
  right: OutcomeCounts,
  sign: 1 | -1 = 1,
): OutcomeCounts => ({
  outcomes: left.outcomes + sign * right.outcomes,
  failures: left.failures + sign * right.failures,
});

/**
 * Counts the outcomes of the last half to whole window. All windows slide at the same times, so that
 * one can be subtracted from another that has counted the same outcomes.
 */
export class OutcomeWindow {
  /** Number of the half window that `current` counts, on the monotonic clock. */
  private half = 0;

  private current = NO_OUTCOMES;

  private previous = NO_OUTCOMES;

  /** @param nowMs monotonic time, the same for all windows that count the outcome */
  record(isFailure: boolean, nowMs: number): void {
    this.advance(nowMs);
    this.current = addCounts(this.current, { outcomes: 1, failures: isFailure ? 1 : 0 });
  }

  count(nowMs: number): OutcomeCounts {
    this.advance(nowMs);
    return addCounts(this.current, this.previous);
  }

  /** Takes out the outcomes of a window, all of which this one has counted too. */
  subtract(other: OutcomeWindow, nowMs: number): void {
    this.advance(nowMs);
    other.advance(nowMs);
    this.current = addCounts(this.current, other.current, -1);
    this.previous = addCounts(this.previous, other.previous, -1);
  }

  clear(): void {
    this.current = NO_OUTCOMES;
    this.previous = NO_OUTCOMES;
  }

  private advance(nowMs: number): void {
    const half = Math.floor(nowMs / HALF_WINDOW_MS);
    if (half === this.half) return;
    this.previous = half === this.half + 1 ? this.current : NO_OUTCOMES;
    this.current = NO_OUTCOMES;
    this.half = half;
  }
}
