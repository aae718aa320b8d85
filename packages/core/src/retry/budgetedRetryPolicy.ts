import { createBackoff } from '../log/backoff.js';
import type { RandomGenerator } from '../log/backoff.js';
import { canRetry } from '../verdict.js';
import { MAX_ATTEMPTS, INITIAL_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS } from './constants.js';
import { RetryBudget } from './retryBudget.js';
import { RetryPolicy } from './retryPolicy.js';
import type { RetryDecision, RetryQuery, RetryRefusal } from './retryPolicy.js';

/** Retries if the verdict allows it, with jittered backoff and within a retry budget. */
export class BudgetedRetryPolicy extends RetryPolicy {
  private readonly budget = new RetryBudget();

  constructor(private readonly generator: RandomGenerator) {
    super();
  }

  override recordRequest(): void {
    this.budget.addCredit();
  }

  override decide(query: RetryQuery): RetryDecision {
    const delayMs = this.computeDelayMs(query.attempts);
    const reason = this.findRefusal(query, delayMs);
    return reason === undefined ? { retry: true, delayMs } : { retry: false, reason };
  }

  override tryHedge(): boolean {
    return this.budget.tryCharge();
  }

  override withdrawAttempt(): void {
    this.budget.withdrawCharge();
  }

  private findRefusal(query: RetryQuery, delayMs: number): RetryRefusal | undefined {
    if (!canRetry(query.verdict, query.idempotent)) return 'verdict';
    if (query.attempts >= MAX_ATTEMPTS) return 'attempts';
    if (delayMs >= query.remainingMs) return 'deadline';
    return this.budget.tryCharge() ? undefined : 'budget';
  }

  private computeDelayMs(attempts: number): number {
    const initialMs = INITIAL_RETRY_DELAY_MS * 2 ** (attempts - 1);
    return createBackoff({
      initialMs,
      maxMs: MAX_RETRY_DELAY_MS,
      generator: this.generator,
    }).nextDelayMs();
  }
}
