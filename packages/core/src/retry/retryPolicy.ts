import type { Verdict } from '../verdict.js';

/** A failed attempt that may be retried. */
export interface RetryQuery {
  /** Number of attempts so far. */
  readonly attempts: number;
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
  | { readonly retry: true; readonly delayMs: number }
  | { readonly retry: false; readonly reason: RetryRefusal };

/** Decides on retries and hedges. */
export abstract class RetryPolicy {
  /** Records the first attempt at a request. */
  abstract recordRequest(): void;

  /** Decides whether to retry a failed attempt; a granted retry is charged to the budget. */
  abstract decide(query: RetryQuery): RetryDecision;

  /** Charges a hedge to the budget; false if the budget is exhausted. */
  abstract tryHedge(): boolean;

  /** Credits a granted retry or hedge that was not sent. */
  abstract withdrawAttempt(): void;
}
