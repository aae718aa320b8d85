import fc from 'fast-check';
import { expect, test } from 'vitest';
import { createRandomGenerator } from '../../random.js';
import { BudgetedRetryPolicy } from '../budgetedRetryPolicy.js';
import {
  MAX_RETRY_DELAY_MS,
  INITIAL_RETRY_BUDGET_BALANCE,
  RETRY_BUDGET_RATIO,
} from '../constants.js';
import { HedgeDelay } from '../hedgeDelay.js';
import { RetryPolicy } from '../retryPolicy.js';
import type { RetryDecision, RetryQuery } from '../retryPolicy.js';

/** Retries immediately, regardless of the verdict. */
class EagerRetryPolicy extends RetryPolicy {
  override recordRequest(): void {
    // Has no budget.
  }

  override decide({ sends }: RetryQuery): RetryDecision {
    return sends.arrivals < 10
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

const countArrivals = (arrivals: number): RetryQuery['sends'] => ({
  arrivals,
  unreached: 0,
  withheld: 0,
  lastEnd: 'rejected',
});

const failure: RetryQuery = {
  sends: countArrivals(1),
  verdict: 'not-run',
  idempotent: true,
  remainingMs: 10_000,
};

const createPolicy = () => new BudgetedRetryPolicy(createRandomGenerator(1));

const countExtraAttempts = (policy: RetryPolicy, requests: number): number => {
  let extraAttempts = 0;
  for (let request = 0; request < requests; request += 1) {
    policy.recordRequest();
    for (
      let attempts = 1;
      policy.decide({ ...failure, sends: countArrivals(attempts) }).retry;
      attempts += 1
    )
      extraAttempts += 1;
    if (policy.tryHedge()) extraAttempts += 1;
  }
  return extraAttempts;
};

test('extra attempts stay within the budgeted ratio of traffic', () => {
  const allowed = 1_000 * RETRY_BUDGET_RATIO + INITIAL_RETRY_BUDGET_BALANCE;
  expect(countExtraAttempts(createPolicy(), 1_000)).toBeLessThanOrEqual(allowed);
  expect(countExtraAttempts(createPolicy(), 1_000)).toBeGreaterThan(allowed * 0.9);
  expect(countExtraAttempts(new EagerRetryPolicy(), 1_000)).toBeGreaterThan(allowed);
});

const listUnsafeRetries = (policy: RetryPolicy): readonly RetryQuery[] => {
  const unsafe: RetryQuery[] = [];
  fc.assert(
    fc.property(
      fc.record({
        sends: fc.integer({ min: 1, max: 5 }).map(countArrivals),
        verdict: fc.constantFrom('not-run' as const, 'may-have-run' as const, 'ran' as const),
        idempotent: fc.boolean(),
        remainingMs: fc.integer({ min: -10, max: 1_000 }),
      }),
      (query) => {
        for (let count = 0; count < 30; count += 1) policy.recordRequest();
        const decision = policy.decide(query);
        const mayRepeat =
          query.verdict === 'not-run' || (query.verdict === 'may-have-run' && query.idempotent);
        if (decision.retry && (!mayRepeat || decision.delayMs >= query.remainingMs)) {
          unsafe.push(query);
        }
      },
    ),
    { seed: 1, numRuns: 500 },
  );
  return unsafe;
};

test('retries only requests that may run again and have time left', () => {
  expect(listUnsafeRetries(createPolicy())).toEqual([]);
  expect(listUnsafeRetries(new EagerRetryPolicy())).not.toEqual([]);
});

test('retry delays are jittered and bounded', () => {
  const policy = createPolicy();
  const delays = Array.from({ length: 40 }, () => {
    for (let count = 0; count < 1 / RETRY_BUDGET_RATIO; count += 1) policy.recordRequest();
    const decision = policy.decide(failure);
    return decision.retry ? decision.delayMs : NaN;
  });
  expect(new Set(delays).size).toBeGreaterThan(30);
  expect(Math.max(...delays)).toBeLessThanOrEqual(MAX_RETRY_DELAY_MS);
});

test('the hedge delay is the 95th percentile of recent latencies', () => {
  const delay = new HedgeDelay();
  for (let sample = 1; sample <= 15; sample += 1) delay.recordLatency(20);
  expect(delay.computeDelayMs()).toBeUndefined();
  for (let sample = 1; sample <= 64; sample += 1) delay.recordLatency(sample);
  expect(delay.computeDelayMs()).toBe(61);
});
