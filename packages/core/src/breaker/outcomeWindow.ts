import { FAILURE_RATE_WINDOW_MS } from './constants.js';

/** Number of outcomes, and of the failures among them. */
export interface OutcomeCounts {
  readonly outcomes: number;
  readonly failures: number;
}

const NO_OUTCOMES: OutcomeCounts = { outcomes: 0, failures: 0 };

const HALF_WINDOW_MS = FAILURE_RATE_WINDOW_MS / 2;

/** Counts the outcomes of the last half to whole window. */
export class OutcomeWindow {
  private startedAtMs = performance.now();

  private current = NO_OUTCOMES;

  private previous = NO_OUTCOMES;

  record(isFailure: boolean): void {
    this.advance();
    const { outcomes, failures } = this.current;
    this.current = { outcomes: outcomes + 1, failures: failures + (isFailure ? 1 : 0) };
  }

  count(): OutcomeCounts {
    this.advance();
    return {
      outcomes: this.current.outcomes + this.previous.outcomes,
      failures: this.current.failures + this.previous.failures,
    };
  }

  clear(): void {
    this.current = NO_OUTCOMES;
    this.previous = NO_OUTCOMES;
  }

  private advance(): void {
    const elapsedMs = performance.now() - this.startedAtMs;
    if (elapsedMs < HALF_WINDOW_MS) return;
    this.previous = elapsedMs < FAILURE_RATE_WINDOW_MS ? this.current : NO_OUTCOMES;
    this.current = NO_OUTCOMES;
    this.startedAtMs = performance.now();
  }
}
