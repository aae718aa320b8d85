import fc from 'fast-check';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import type { UpstreamId } from '../../ids.js';
import { createRandomGenerator } from '../../random.js';
import { CappedEjectionPolicy } from '../cappedEjectionPolicy.js';
import { MAX_BREAKER_OPEN_MS, PROBE_TIMEOUT_MS } from '../constants.js';
import type { EjectionPolicy } from '../ejectionPolicy.js';
import { addUpstreams, failUntilOpen, makeUpstreamId } from './ejectionFixtures.js';
import { UncappedEjectionPolicy } from './uncappedEjectionPolicy.js';

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

const measureMinClosed = (policy: EjectionPolicy): number => {
  let minClosed = Infinity;
  const step = fc.record({
    index: fc.nat(7),
    action: fc.constantFrom('fail', 'fail', 'fail', 'succeed', 'wait', 'leave', 'join'),
  });
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 80 }), (steps) => {
      addUpstreams(8, policy);
      const members = new Set([0, 1, 2, 3, 4, 5, 6, 7]);
      steps.forEach(({ index, action }) => {
        if (action === 'fail') failUntilOpen(policy, index);
        else if (action === 'succeed') policy.recordOutcome(makeUpstreamId(index), 'success');
        else if (action === 'wait') vi.advanceTimersByTime(1_000);
        else if (action === 'join') {
          policy.setGroup(makeUpstreamId(index), 'engine/small');
          members.add(index);
        } else if (members.size > 1) {
          policy.remove(makeUpstreamId(index));
          members.delete(index);
        }
        const closed = [...members].filter(
          (one) => policy.getState(makeUpstreamId(one)) === 'closed',
        );
        minClosed = Math.min(minClosed, closed.length);
      });
    }),
    { seed: 1, numRuns: 200 },
  );
  return minClosed;
};

test('ejection never leaves a group without a closed upstream', () => {
  expect(measureMinClosed(new CappedEjectionPolicy(createRandomGenerator(1)))).toBeGreaterThan(0);
  expect(measureMinClosed(new UncappedEjectionPolicy(createRandomGenerator(1)))).toBe(0);
});

// Guards against a gauge that keeps showing upstreams that have left or restarted while ejected.
test('each ejection that was reported is reported to end, however it ends', () => {
  const step = fc.record({
    index: fc.nat(7),
    action: fc.constantFrom('fail', 'fail', 'fail', 'wait', 'probe', 'leave', 'join', 'move'),
  });
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 80 }), (steps) => {
      const reported = new Set<UpstreamId>();
      const policy = addUpstreams(
        8,
        new CappedEjectionPolicy(createRandomGenerator(1), ({ upstreamId, isEjected }) => {
          if (isEjected) reported.add(upstreamId);
          else expect(reported.delete(upstreamId)).toBe(true);
        }),
      );
      steps.forEach(({ index, action }) => {
        const upstreamId = makeUpstreamId(index);
        if (action === 'fail') failUntilOpen(policy, index);
        else if (action === 'wait') vi.advanceTimersByTime(MAX_BREAKER_OPEN_MS);
        else if (action === 'probe') {
          policy.recordStart(upstreamId);
          policy.recordOutcome(upstreamId, 'success');
        } else if (action === 'leave') policy.remove(upstreamId);
        else policy.setGroup(upstreamId, action === 'join' ? 'engine/small' : 'engine/large');
        const ejected = [0, 1, 2, 3, 4, 5, 6, 7]
          .map(makeUpstreamId)
          .filter((one) => policy.getState(one) !== 'closed');
        expect([...reported].sort()).toEqual(ejected);
      });
    }),
    { seed: 1, numRuns: 200 },
  );
});

test('at most half of a group is ejected at the same time', () => {
  const policy = addUpstreams(5);
  [0, 1, 2, 3, 4].forEach((index) => failUntilOpen(policy, index));
  expect([0, 1, 2, 3, 4].map((index) => policy.getState(makeUpstreamId(index)))).toEqual([
    'open',
    'open',
    'closed',
    'closed',
    'closed',
  ]);
});

test('a half-open breaker admits one probe, whose outcome opens or closes it', () => {
  const policy = addUpstreams(4);
  failUntilOpen(policy, 0);
  vi.advanceTimersByTime(MAX_BREAKER_OPEN_MS);
  expect(policy.getState(makeUpstreamId(0))).toBe('half-open');
  policy.recordStart(makeUpstreamId(0));
  expect(policy.getState(makeUpstreamId(0))).toBe('open');
  policy.recordOutcome(makeUpstreamId(0), 'failure');
  expect(policy.getState(makeUpstreamId(0))).toBe('open');
  vi.advanceTimersByTime(MAX_BREAKER_OPEN_MS);
  policy.recordStart(makeUpstreamId(0));
  policy.recordOutcome(makeUpstreamId(0), 'neutral');
  expect(policy.getState(makeUpstreamId(0))).toBe('half-open');
  policy.recordStart(makeUpstreamId(0));
  policy.recordOutcome(makeUpstreamId(0), 'success');
  expect(policy.getState(makeUpstreamId(0))).toBe('closed');
});

test('an upstream is not taken back by an answer to a request from before its ejection', () => {
  const changes: string[] = [];
  const policy = addUpstreams(
    4,
    new CappedEjectionPolicy(createRandomGenerator(1), ({ reason }) => changes.push(reason)),
  );
  failUntilOpen(policy, 0);
  policy.recordOutcome(makeUpstreamId(0), 'success');
  expect(policy.getState(makeUpstreamId(0))).toBe('open');
  vi.advanceTimersByTime(MAX_BREAKER_OPEN_MS);
  policy.recordStart(makeUpstreamId(0));
  policy.recordOutcome(makeUpstreamId(0), 'success');
  expect(changes).toEqual(['consecutive failures', 'recovered']);
});

test('a probe without an outcome does not keep an upstream out for good', () => {
  const policy = addUpstreams(4);
  failUntilOpen(policy, 0);
  vi.advanceTimersByTime(MAX_BREAKER_OPEN_MS);
  policy.recordStart(makeUpstreamId(0));
  vi.advanceTimersByTime(PROBE_TIMEOUT_MS - 1);
  expect(policy.getState(makeUpstreamId(0))).toBe('open');
  vi.advanceTimersByTime(1);
  expect(policy.getState(makeUpstreamId(0))).toBe('half-open');
});

test('a jump of the time of day does not end an ejection', () => {
  const policy = addUpstreams(4);
  failUntilOpen(policy, 0);
  vi.setSystemTime(Date.now() + 10 * MAX_BREAKER_OPEN_MS);
  expect(policy.getState(makeUpstreamId(0))).toBe('open');
});

/** Records outcomes of all upstreams of a group in turn, each failing at its own rate. */
const recordOutcomes = (policy: EjectionPolicy, rates: readonly number[], count: number): void => {
  const random = createRandomGenerator(7);
  for (let round = 0; round < count; round += 1) {
    rates.forEach((rate, index) =>
      policy.recordOutcome(
        makeUpstreamId(index),
        uniformFloat64(random) < rate ? 'failure' : 'success',
      ),
    );
    vi.advanceTimersByTime(200);
  }
};

test('an upstream that fails every second request is ejected, the others are not', () => {
  const policy = addUpstreams(8);
  recordOutcomes(policy, [0.5, 0.01, 0.05, 0, 0, 0, 0, 0], 60);
  const states = [0, 1, 2, 3, 4, 5, 6, 7].map((index) => policy.getState(makeUpstreamId(index)));
  expect(states[0]).not.toBe('closed');
  expect(states.slice(1)).toEqual(Array.from({ length: 7 }, () => 'closed'));
});

test.each([0.01, 0.05])('an hour of ordinary errors at a rate of %d ejects no upstream', (rate) => {
  let changes = 0;
  const policy = addUpstreams(
    8,
    new CappedEjectionPolicy(createRandomGenerator(1), () => {
      changes += 1;
    }),
  );
  const hourMs = 3_600_000;
  recordOutcomes(
    policy,
    Array.from({ length: 8 }, () => rate),
    hourMs / 200,
  );
  expect(changes).toBe(0);
});

// Guards against requests that fail everywhere and leave only upstreams that nobody can reach.
test('upstreams that all fail in a row are not ejected', () => {
  const policy = addUpstreams(6);
  for (let count = 0; count < 20; count += 1) {
    [0, 1, 2].forEach((index) => policy.recordOutcome(makeUpstreamId(index), 'failure'));
    [3, 4, 5].forEach((index) => policy.recordOutcome(makeUpstreamId(index), 'neutral'));
  }
  [0, 1, 2].forEach((index) => expect(policy.getState(makeUpstreamId(index))).toBe('closed'));
});

test('upstreams that all fail at the same rate are not ejected for it', () => {
  const policy = addUpstreams(8);
  for (let count = 0; count < 200; count += 1) {
    for (let index = 0; index < 8; index += 1)
      policy.recordOutcome(makeUpstreamId(index), count % 2 === 0 ? 'failure' : 'success');
    vi.advanceTimersByTime(100);
  }
  for (let index = 0; index < 8; index += 1)
    expect(policy.getState(makeUpstreamId(index))).toBe('closed');
});
