import { RetryPolicy } from '@goldcrestscale/core';
import type { RetryDecision, RetryQuery } from '@goldcrestscale/core';

/** Repeats at once, without a budget. */
export class EagerRetryPolicy extends RetryPolicy {
  override recordRequest(): void {
    // Keeps no budget.
  }

  override decide({ attempts, verdict, idempotent }: RetryQuery): RetryDecision {
    const mayRepeat = verdict === 'not-run' || (idempotent && verdict === 'may-have-run');
    return mayRepeat && attempts < 3
      ? { retry: true, delayMs: 0 }
      : { retry: false, reason: 'attempts' };
  }

  override tryHedge(): boolean {
    return true;
  }
}
