import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createRandomGenerator } from '../../random.js';
import { CappedEjectionPolicy } from '../cappedEjectionPolicy.js';
import { addUpstreams, makeUpstreamId } from './ejectionFixtures.js';
import { PlainEjectionPolicy } from './plainEjectionPolicy.js';

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

test('decisions from running sums equal those of a walk over all upstreams', () => {
  const seen = new Set<string>();
  const step = fc.record({
    index: fc.nat(7),
    count: fc.integer({ min: 1, max: 40 }),
    waitMs: fc.constantFrom(0, 0, 0, 0, 300, 2_600, 31_000),
    action: fc.constantFrom(
      ...['fail', 'succeed', 'succeed', 'succeed', 'alternate', 'alternate'],
      ...['probe', 'neutral', 'leave', 'join', 'move'],
    ),
  });
  fc.assert(
    fc.property(fc.array(step, { minLength: 30, maxLength: 120 }), (steps) => {
      const policies = [
        addUpstreams(
          8,
          new CappedEjectionPolicy(createRandomGenerator(1), ({ reason }) => seen.add(reason)),
        ),
        addUpstreams(8, new PlainEjectionPolicy(createRandomGenerator(1))),
      ];
      steps.forEach(({ index, count, waitMs, action }) => {
        vi.advanceTimersByTime(waitMs);
        const upstreamId = makeUpstreamId(index);
        policies.forEach((policy) => {
          if (action === 'leave') policy.remove(upstreamId);
          else if (action === 'join') policy.setGroup(upstreamId, 'engine/small');
          else if (action === 'move') policy.setGroup(upstreamId, 'engine/large');
          else if (action === 'probe') {
            policy.recordStart(upstreamId);
            policy.recordOutcome(upstreamId, count % 2 === 0 ? 'success' : 'failure');
          } else if (action === 'neutral') policy.recordOutcome(upstreamId, 'neutral');
          else {
            for (let round = 0; round < count; round += 1) {
              const isFailure = action === 'fail' || (action === 'alternate' && round % 2 === 0);
              policy.recordOutcome(upstreamId, isFailure ? 'failure' : 'success');
            }
          }
        });
        const [states, plainStates] = policies.map((policy) =>
          [0, 1, 2, 3, 4, 5, 6, 7].map((one) => policy.getState(makeUpstreamId(one))),
        );
        expect(states).toEqual(plainStates);
      });
    }),
    { seed: 1, numRuns: 500 },
  );
  expect([...seen].sort()).toEqual([
    ...['consecutive failures', 'failed probe', 'failure rate', 'group too small'],
    ...['left', 'recovered'],
  ]);
});

/** Measures the time of one failure in a group, where all upstreams fail alike; the best of five rounds. */
const measureFailureMs = (size: number): number => {
  const policy = addUpstreams(size);
  const failures = 300;
  const rounds = Array.from({ length: 5 }, () => {
    const startedAtMs = performance.now();
    for (let index = 0; index < failures; index += 1)
      policy.recordOutcome(makeUpstreamId(index % size), index % 7 === 0 ? 'success' : 'failure');
    return (performance.now() - startedAtMs) / failures;
  });
  return Math.min(...rounds);
};

// Guards against failures that cost as much as the fleet is large.
test('a failure among 2,600 upstreams costs about as much as one among 3', () => {
  vi.useRealTimers();
  const smallMs = measureFailureMs(3);
  const largeMs = measureFailureMs(2_600);
  expect(largeMs).toBeLessThan(20 * smallMs);
});
