import { RetryPolicy } from '@goldcrestscale/core';
import type { RetryDecision, RetryQuery } from '@goldcrestscale/core';

/** Baseline: retries immediately, up to three attempts, without a retry budget. */
export class UnbudgetedRetryPolicy extends RetryPolicy {
  override recordRequest(): void {
    // Has no retry budget.
  }

  override decide({ sends, verdict, idempotent }: RetryQuery): RetryDecision {
    const attempts = sends.arrivals + sends.unreached + sends.withheld;
    const mayRepeat = verdict === 'not-run' || (idempotent && verdict === 'may-have-run');
    return mayRepeat && attempts < 3
      ? { retry: true, delayMs: 0, isCharged: false }
      : { retry: false, reason: 'attempts' };
  }

  override tryHedge(): boolean {
    return true;
  }

  override withdrawAttempt(): void {
    // Has no budget.
  }
}
