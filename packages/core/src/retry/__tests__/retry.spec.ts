import fc from 'fast-check';
import { expect, test } from 'vitest';
import { createGenerator } from '../../random.js';
import { BudgetedRetryPolicy } from '../budgetedRetryPolicy.js';
import { RETRY_MAX_MS, RETRY_RESERVE, RETRY_SHARE } from '../constants.js';
import { HedgeDelay } from '../hedgeDelay.js';
import { RetryPolicy } from '../retryPolicy.js';
import type { RetryDecision, RetryQuery } from '../retryPolicy.js';

/** Repeats everything at once, whatever the verdict. */
class EagerRetryPolicy extends RetryPolicy {
  override noteRequest(): void {
    // Keeps no budget.
  }

  override decide({ attempts }: RetryQuery): RetryDecision {
    return attempts < 10 ? { retry: true, delayMs: 0 } : { retry: false, reason: 'attempts' };
  }

  override tryHedge(): boolean {
    return true;
  }
}

const failure: RetryQuery = {
  attempts: 1,
  verdict: 'not-run',
  idempotent: true,
  remainingMs: 10_000,
};

const createPolicy = () => new BudgetedRetryPolicy(createGenerator(1));

const countExtra = (policy: RetryPolicy, requests: number): number => {
  let extra = 0;
  for (let request = 0; request < requests; request += 1) {
    policy.noteRequest();
    for (let attempts = 1; policy.decide({ ...failure, attempts }).retry; attempts += 1) extra += 1;
    if (policy.tryHedge()) extra += 1;
  }
  return extra;
};

test('extra attempts stay within the share of traffic', () => {
  const allowed = 1_000 * RETRY_SHARE + RETRY_RESERVE;
  expect(countExtra(createPolicy(), 1_000)).toBeLessThanOrEqual(allowed);
  expect(countExtra(createPolicy(), 1_000)).toBeGreaterThan(allowed * 0.9);
  expect(countExtra(new EagerRetryPolicy(), 1_000)).toBeGreaterThan(allowed);
});

const listUnsafe = (policy: RetryPolicy): readonly RetryQuery[] => {
  const unsafe: RetryQuery[] = [];
  fc.assert(
    fc.property(
      fc.record({
        attempts: fc.integer({ min: 1, max: 5 }),
        verdict: fc.constantFrom('not-run' as const, 'may-have-run' as const, 'ran' as const),
        idempotent: fc.boolean(),
        remainingMs: fc.integer({ min: -10, max: 1_000 }),
      }),
      (query) => {
        for (let count = 0; count < 30; count += 1) policy.noteRequest();
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

test('only what may run again in time is repeated', () => {
  expect(listUnsafe(createPolicy())).toEqual([]);
  expect(listUnsafe(new EagerRetryPolicy())).not.toEqual([]);
});

test('delays are jittered and bounded', () => {
  const policy = createPolicy();
  const delays = Array.from({ length: 40 }, () => {
    for (let count = 0; count < 1 / RETRY_SHARE; count += 1) policy.noteRequest();
    const decision = policy.decide(failure);
    return decision.retry ? decision.delayMs : NaN;
  });
  expect(new Set(delays).size).toBeGreaterThan(30);
  expect(Math.max(...delays)).toBeLessThanOrEqual(RETRY_MAX_MS);
});

test('a hedge waits for the slow tail', () => {
  const delay = new HedgeDelay();
  for (let sample = 1; sample <= 15; sample += 1) delay.observe(20);
  expect(delay.computeMs()).toBeUndefined();
  for (let sample = 1; sample <= 64; sample += 1) delay.observe(sample);
  expect(delay.computeMs()).toBe(61);
});
