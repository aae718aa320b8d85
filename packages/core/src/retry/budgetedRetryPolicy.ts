import { createBackoff } from '../log/backoff.js';
import type { RandomGenerator } from '../log/backoff.js';
import { canRetry } from '../verdict.js';
import {
  MAX_ATTEMPTS,
  INITIAL_RETRY_DELAY_MS,
  MAX_RETRY_DELAY_MS,
  MAX_UNREACHED_TRIES,
} from './constants.js';
import { RetryBudget } from './retryBudget.js';
import { RetryPolicy } from './retryPolicy.js';
import type { RetryDecision, RetryQuery, RetryRefusal } from './retryPolicy.js';
import { UnreachedTries } from './unreachedTries.js';

/** Retries if the verdict allows it, with jittered backoff and within a retry budget. */
export class BudgetedRetryPolicy extends RetryPolicy {
  private readonly budget = new RetryBudget();

  private readonly unreachedTries = new UnreachedTries();

  constructor(private readonly generator: RandomGenerator) {
    super();
  }

  override recordRequest(): void {
    this.budget.addCredit();
  }

  override decide(query: RetryQuery): RetryDecision {
    const delayMs = this.computeDelayMs(query);
    const isCharged = query.sends.arrivals > 0;
    const reason = this.findRefusal(query, delayMs, isCharged);
    return reason === undefined ? { retry: true, delayMs, isCharged } : { retry: false, reason };
  }

  override tryHedge(): boolean {
    return this.budget.tryCharge();
  }

  override withdrawAttempt(): void {
    this.budget.withdrawCharge();
  }

  private findRefusal(
    { verdict, idempotent, sends, remainingMs }: RetryQuery,
    delayMs: number,
    isCharged: boolean,
  ): RetryRefusal | undefined {
    if (!canRetry(verdict, idempotent)) return 'verdict';
    if (sends.arrivals >= MAX_ATTEMPTS || sends.withheld >= MAX_ATTEMPTS) return 'attempts';
    if (sends.unreached > MAX_UNREACHED_TRIES) return 'attempts';
    if (delayMs >= remainingMs) return 'deadline';
    if (sends.lastEnd === 'unreachable' && !this.unreachedTries.tryTake()) return 'attempts';
    return !isCharged || this.budget.tryCharge() ? undefined : 'budget';
  }

  /** A try at another upstream after a connect that failed needs no delay: it repeats nothing. */
  private computeDelayMs({ sends }: RetryQuery): number {
    if (sends.lastEnd === 'unreachable') return 0;
    const count = Math.max(1, sends.arrivals, sends.withheld);
    const initialMs = INITIAL_RETRY_DELAY_MS * 2 ** (count - 1);
    return createBackoff({
      initialMs,
      maxMs: MAX_RETRY_DELAY_MS,
      generator: this.generator,
    }).nextDelayMs();
  }
}
