import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { UpstreamId } from '../../ids.js';
import { createGenerator } from '../../random.js';
import { CappedEjection } from '../cappedEjection.js';
import { FAILURES_TO_OPEN, OPEN_MAX_MS } from '../constants.js';
import type { EjectionPolicy } from '../ejectionPolicy.js';
import { UncappedEjection } from './naiveEjection.js';

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

const getId = (index: number): UpstreamId => toId<UpstreamId>(`engine-${index}`);

const createFleet = (
  size: number,
  policy: EjectionPolicy = new CappedEjection(createGenerator(1)),
) => {
  for (let index = 0; index < size; index += 1) policy.setGroup(getId(index), 'engine/small');
  return policy;
};

const failOften = (policy: EjectionPolicy, index: number): void => {
  for (let count = 0; count < FAILURES_TO_OPEN; count += 1) policy.noteEnd(getId(index), 'failure');
};

const runFaults = (policy: EjectionPolicy): number => {
  let fewest = Infinity;
  const step = fc.record({
    index: fc.nat(7),
    act: fc.constantFrom('fail', 'fail', 'fail', 'succeed', 'wait', 'leave', 'join'),
  });
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 80 }), (steps) => {
      createFleet(8, policy);
      const members = new Set([0, 1, 2, 3, 4, 5, 6, 7]);
      steps.forEach(({ index, act }) => {
        if (act === 'fail') failOften(policy, index);
        else if (act === 'succeed') policy.noteEnd(getId(index), 'success');
        else if (act === 'wait') vi.advanceTimersByTime(1_000);
        else if (act === 'join') {
          policy.setGroup(getId(index), 'engine/small');
          members.add(index);
        } else if (members.size > 1) {
          policy.remove(getId(index));
          members.delete(index);
        }
        const closed = [...members].filter((one) => policy.getState(getId(one)) === 'closed');
        fewest = Math.min(fewest, closed.length);
      });
    }),
    { seed: 1, numRuns: 200 },
  );
  return fewest;
};

test('ejecting never empties a group', () => {
  expect(runFaults(new CappedEjection(createGenerator(1)))).toBeGreaterThan(0);
  expect(runFaults(new UncappedEjection(createGenerator(1)))).toBe(0);
});

test('at most half of a group is ejected', () => {
  const policy = createFleet(5);
  [0, 1, 2, 3, 4].forEach((index) => failOften(policy, index));
  expect([0, 1, 2, 3, 4].map((index) => policy.getState(getId(index)))).toEqual([
    'open',
    'open',
    'closed',
    'closed',
    'closed',
  ]);
});

test('one probe at a time decides', () => {
  const policy = createFleet(4);
  failOften(policy, 0);
  vi.advanceTimersByTime(OPEN_MAX_MS);
  expect(policy.getState(getId(0))).toBe('half-open');
  policy.noteStart(getId(0));
  expect(policy.getState(getId(0))).toBe('open');
  policy.noteEnd(getId(0), 'failure');
  expect(policy.getState(getId(0))).toBe('open');
  vi.advanceTimersByTime(OPEN_MAX_MS);
  policy.noteStart(getId(0));
  policy.noteEnd(getId(0), 'neutral');
  expect(policy.getState(getId(0))).toBe('half-open');
  policy.noteStart(getId(0));
  policy.noteEnd(getId(0), 'success');
  expect(policy.getState(getId(0))).toBe('closed');
});
