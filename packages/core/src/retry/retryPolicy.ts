import type { Verdict } from '../verdict.js';

/** A failed attempt that may be repeated. */
export interface RetryQuery {
  /** Attempts at the request so far. */
  readonly attempts: number;
  /** Verdict on the failed attempt. */
  readonly verdict: Verdict;
  /** Whether the request may run more than once. */
  readonly idempotent: boolean;
  /** Time until the answer must have begun, in milliseconds. */
  readonly remainingMs: number;
}

/** Why a failed attempt is not repeated. */
export type RetryRefusal = 'verdict' | 'attempts' | 'deadline' | 'budget';

/** Whether a failed attempt is repeated. */
export type RetryDecision =
  | { readonly retry: true; readonly delayMs: number }
  | { readonly retry: false; readonly reason: RetryRefusal };

/** Decides on every attempt beyond the first. */
export abstract class RetryPolicy {
  /** Notes the first attempt at a request. */
  abstract noteRequest(): void;

  /** Decides on a failed attempt; a granted retry is charged to the budget. */
  abstract decide(query: RetryQuery): RetryDecision;

  /** Charges a hedge to the budget; false where the budget is spent. */
  abstract tryHedge(): boolean;
}
