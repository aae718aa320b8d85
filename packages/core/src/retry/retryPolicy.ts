import type { Verdict } from '../verdict.js';
import type { SendCounts } from './sendCounts.js';

/** A failed attempt that may be retried. */
export interface RetryQuery {
  /** The sends of the request so far. */
  readonly sends: Readonly<Pick<SendCounts, 'arrivals' | 'unreached' | 'withheld' | 'lastEnd'>>;
  /** Whether the failed attempt may have run. */
  readonly verdict: Verdict;
  /** Whether the request may run more than once. */
  readonly idempotent: boolean;
  /** Time left for the response to begin, in milliseconds. */
  readonly remainingMs: number;
}

/** Why a failed attempt is not retried. */
export type RetryRefusal = 'verdict' | 'attempts' | 'deadline' | 'budget';

/** Whether a failed attempt is retried. */
export type RetryDecision =
  | { readonly retry: true; readonly delayMs: number; readonly isCharged: boolean }
  | { readonly retry: false; readonly reason: RetryRefusal };

/** Decides on retries and hedges. */
export abstract class RetryPolicy {
  /** Records the first attempt at a request. */
  abstract recordRequest(): void;

  /**
   * Decides whether to retry a failed attempt. A granted retry is charged to the budget if an earlier
   * send may have arrived.
   */
  abstract decide(query: RetryQuery): RetryDecision;

  /** Charges a hedge to the budget; false if the budget is exhausted. */
  abstract tryHedge(): boolean;

  /** Credits a charged retry or hedge that did not leave this VM. */
  abstract withdrawAttempt(): void;
}
