import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { ServiceName } from '../../ids.js';
import { FleetRetryBudget } from '../index.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const SERVICE = toId<ServiceName>('service');

const limit = { ratio: 0.2, allowance: 54, windowMs: 10_000 };

test('a fleet in which every request fails stays within the limit in every window', () => {
  const fleet = Array.from({ length: 7 }, () => new FleetRetryBudget(limit, () => 7));
  const firstAttemptsAtMs: number[] = [];
  const retriesAtMs: number[] = [];
  for (let step = 0; step < 400; step += 1) {
    fleet.forEach((budget) => {
      budget.recordRequest(SERVICE);
      firstAttemptsAtMs.push(performance.now());
      while (budget.tryRetry(SERVICE)) retriesAtMs.push(performance.now());
    });
    vi.advanceTimersByTime(100);
    const sinceMs = performance.now() - limit.windowMs;
    const inWindow = (times: number[]) => times.filter((atMs) => atMs > sinceMs).length;
    expect(inWindow(retriesAtMs)).toBeLessThanOrEqual(
      inWindow(firstAttemptsAtMs) * limit.ratio + limit.allowance,
    );
  }
});

test('the budget is replenished as the window slides', () => {
  const budget = new FleetRetryBudget(limit, () => 1);
  while (budget.tryRetry(SERVICE));
  expect(budget.tryRetry(SERVICE)).toBe(false);
  vi.advanceTimersByTime(10_001);
  expect(budget.tryRetry(SERVICE)).toBe(true);
});
