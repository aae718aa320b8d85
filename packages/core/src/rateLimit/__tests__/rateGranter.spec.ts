import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { UpstreamId, VmId } from '../../ids.js';
import type { PermitRequest } from '../index.js';
import { RateGranter } from '../rateGranter.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const vm = toId<VmId>('vm');

const makeRequest = (overrides: Partial<PermitRequest> = {}): PermitRequest => ({
  upstreamId: toId<UpstreamId>('engine'),
  startedAtMs: 1,
  id: 1,
  requestsPerSecond: 2,
  announcedAgeMs: 0,
  maxWaitMs: 0,
  priority: 0,
  ...overrides,
});

/** Takes what a granter grants at once. */
const takeFree = (granter: RateGranter, request: PermitRequest, rate: number): number => {
  let count = 0;
  while ('startsInMs' in granter.grant(vm, request, rate)) count += 1;
  return count;
};

test('permits are spaced by the rate, and one is made up for', () => {
  const granter = new RateGranter();
  expect(takeFree(granter, makeRequest(), 2)).toBe(2);
  expect(granter.grant(vm, makeRequest(), 2)).toEqual({ retryAfterMs: 500 });
  vi.advanceTimersByTime(500);
  expect(takeFree(granter, makeRequest(), 2)).toBe(1);
  vi.advanceTimersByTime(60_000);
  expect(takeFree(granter, makeRequest(), 2)).toBe(2);
});

test('a request that can wait gets its permit ahead of time', () => {
  const granter = new RateGranter();
  takeFree(granter, makeRequest(), 2);
  vi.advanceTimersByTime(450);
  expect(granter.grant(vm, makeRequest({ maxWaitMs: 60 }), 2)).toMatchObject({ startsInMs: 50 });
  expect(granter.grant(vm, makeRequest({ maxWaitMs: 60 }), 2)).toEqual({ retryAfterMs: 490 });
});

test('a higher rate does not wait for the permit of the lower one', () => {
  const granter = new RateGranter();
  takeFree(granter, makeRequest(), 0.25);
  expect(granter.grant(vm, makeRequest(), 10)).toEqual({ retryAfterMs: 100 });
});

test('a free permit is kept for a moment for a more urgent class that was denied', () => {
  const granter = new RateGranter();
  takeFree(granter, makeRequest({ priority: 0 }), 2);
  vi.advanceTimersByTime(500);
  expect(granter.grant(vm, makeRequest({ priority: 3 }), 2)).toEqual({ retryAfterMs: 200 });
  expect(granter.grant(vm, makeRequest({ priority: 0 }), 2)).toMatchObject({ startsInMs: 0 });
});

test('a less urgent class gets the permit that the more urgent one does not take', () => {
  const granter = new RateGranter();
  takeFree(granter, makeRequest({ priority: 0 }), 2);
  vi.advanceTimersByTime(700);
  expect(granter.grant(vm, makeRequest({ priority: 3 }), 2)).toMatchObject({ startsInMs: 0 });
});

test('a restarted upstream begins anew', () => {
  const granter = new RateGranter();
  takeFree(granter, makeRequest(), 2);
  expect(takeFree(granter, makeRequest({ startedAtMs: 2 }), 2)).toBe(2);
});
