import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  computeMaxFirstEventWaitMs,
  computeOutdatedWeightsLimitMs,
} from '../dispatch/firstEventWait.js';

const anyRoute = fc.record({
  objectiveMs: fc.integer({ min: 50, max: 1_200 }),
  gapObjectiveMs: fc.option(fc.integer({ min: 50, max: 500 }), { nil: undefined }),
});

test('a request starts on outdated weights within the time limit, or its caller has left', () => {
  fc.assert(
    fc.property(anyRoute, fc.integer({ min: 10_000, max: 14_000 }), (route, weightsInForceMs) => {
      const lastSentMs = computeOutdatedWeightsLimitMs(route, weightsInForceMs);
      const lastStartMs = lastSentMs + computeMaxFirstEventWaitMs(route);
      expect(lastStartMs).toBeLessThanOrEqual(weightsInForceMs);
    }),
  );
});

test('patient callers do not exclude outdated weights before half of the time limit', () => {
  const route = { objectiveMs: 5_000, gapObjectiveMs: undefined };
  expect(computeOutdatedWeightsLimitMs(route, 8_000)).toBe(4_000);
});
