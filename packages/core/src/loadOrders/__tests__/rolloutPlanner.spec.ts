import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { UpstreamId } from '../../ids.js';
import { RolloutPlanner, computeConcurrentLoads } from '../index.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const makeEngines = (loads: readonly number[]) =>
  loads.map((load, index) => ({
    upstreamId: toId<UpstreamId>(`e${index}`),
    isBehind: true,
    load,
  }));

test('concurrent loads match the full-speed limit of each site', () => {
  expect(computeConcurrentLoads(8)).toBe(2);
  expect(computeConcurrentLoads(42)).toBe(12);
  expect(computeConcurrentLoads(98)).toBe(28);
  expect(computeConcurrentLoads(1)).toBe(1);
});

test('the least loaded engines receive orders first', () => {
  const planner = new RolloutPlanner();
  const engines = makeEngines([9, 1, 8, 2, 7, 7, 7, 7]);
  expect(planner.takeNext(engines)).toEqual(['e1', 'e3']);
  expect(planner.takeNext(engines)).toEqual([]);
  planner.recordSuccess(toId<UpstreamId>('e1'));
  const rest = engines.map((engine) => ({ ...engine, isBehind: engine.upstreamId !== 'e1' }));
  expect(planner.takeNext(rest)).toEqual(['e4']);
});

test('a failed engine is skipped for the retry delay and then tried again', () => {
  const planner = new RolloutPlanner();
  const engines = makeEngines([0, 1, 1]);
  expect(planner.takeNext(engines)).toEqual(['e0']);
  planner.recordFailure(toId<UpstreamId>('e0'));
  expect(planner.takeNext(engines)).toEqual(['e1']);
  planner.recordFailure(toId<UpstreamId>('e1'));
  vi.advanceTimersByTime(701);
  expect(planner.takeNext(engines)).toEqual(['e0']);
});
