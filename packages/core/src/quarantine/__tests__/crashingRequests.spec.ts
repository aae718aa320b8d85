import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { ClientAccountId, UpstreamId } from '../../ids.js';
import { END_WINDOW_MS } from '../constants.js';
import type { WholeRequest } from '../crashPattern.js';
import { CrashQuarantine } from '../crashQuarantine.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const SPACING_MS = 400;

/** Longer than the time in which a survival can clear a request. */
const SETTLED_MS = 2_000;

const makeRequest = (overrides: Partial<WholeRequest> = {}): WholeRequest => ({
  method: 'POST',
  host: 'site.example',
  target: '/lookup?id=7',
  body: Buffer.from('body'),
  account: toId<ClientAccountId>('account'),
  ...overrides,
});

const request = makeRequest();

const makeBoot = (index: number) => ({
  upstreamId: toId<UpstreamId>(`up-${index}`),
  startedAtMs: 1,
  service: 'app',
});

/** Ends upstreams under some requests, one upstream after the other. */
const endUpstreams = (
  quarantine: CrashQuarantine,
  indexes: readonly number[],
  requests: readonly WholeRequest[],
): void =>
  indexes.forEach((index) => {
    requests.forEach((one) => quarantine.recordCrash(one, makeBoot(index)));
    vi.advanceTimersByTime(SPACING_MS);
  });

/** Lets the time pass and the quarantine notice it. */
const settle = (quarantine: CrashQuarantine): void => {
  vi.advanceTimersByTime(SETTLED_MS);
  quarantine.takeRows();
};

test('a request that alone ended two upstreams is held at first, then refused', () => {
  const quarantine = new CrashQuarantine();
  endUpstreams(quarantine, [1, 2], [request]);
  expect(quarantine.findRefused(request)).toBeUndefined();
  expect(quarantine.computeHoldMs(request)).toBeGreaterThan(0);
  settle(quarantine);
  expect(quarantine.computeHoldMs(request)).toBe(0);
  expect(quarantine.findRefused(request)).toMatchObject({ kind: 'request' });
});

test.each([
  makeRequest({ method: 'GET' }),
  makeRequest({ host: 'other.example' }),
  makeRequest({ target: '/lookup?id=8' }),
  makeRequest({ body: Buffer.from('other') }),
  makeRequest({ account: toId<ClientAccountId>('other') }),
])('a request that differs in one field is not refused: %#', (other) => {
  const quarantine = new CrashQuarantine();
  endUpstreams(quarantine, [1, 2, 3, 4], [request]);
  settle(quarantine);
  expect(quarantine.findRefused(request)).toBeDefined();
  expect(quarantine.findRefused(other)).toBeUndefined();
  expect(quarantine.computeHoldMs(other)).toBe(0);
});

test('a sound answer clears a request', () => {
  const quarantine = new CrashQuarantine();
  endUpstreams(quarantine, [1, 2], [request]);
  quarantine.recordSurvival(request);
  settle(quarantine);
  expect(quarantine.findRefused(request)).toBeUndefined();
});

// Guards against a VM that answered the request before the crash elsewhere was reported to it.
test('an answer before the report of a crash clears the request', () => {
  const [origin, other] = [new CrashQuarantine(), new CrashQuarantine()];
  origin.recordCrash(request, makeBoot(1));
  vi.advanceTimersByTime(100);
  other.recordSurvival(request);
  vi.advanceTimersByTime(100);
  other.merge(origin.takeRows());
  expect(other.hasSuspect(request)).toBe(false);
  origin.merge(other.takeRows());
  expect(origin.hasSuspect(request)).toBe(false);
});

test('requests that were lost beside the blamed one are not refused', () => {
  const quarantine = new CrashQuarantine();
  const bystander = makeRequest({ target: '/lookup?id=9' });
  endUpstreams(quarantine, [1, 2], [request, bystander]);
  endUpstreams(quarantine, [3, 4], [request]);
  settle(quarantine);
  expect(quarantine.findRefused(request)).toBeDefined();
  expect(quarantine.findRefused(bystander)).toBeUndefined();
});

test('ends within a moment count once', () => {
  const quarantine = new CrashQuarantine();
  [1, 2, 3, 4].forEach((index) => quarantine.recordCrash(request, makeBoot(index)));
  settle(quarantine);
  expect(quarantine.findRefused(request)).toBeUndefined();
});

test('two ends blame no request while the service has other ends', () => {
  const quarantine = new CrashQuarantine();
  const others = [5, 6].map((id) => makeRequest({ target: `/lookup?id=${id}` }));
  others.forEach((other, index) => endUpstreams(quarantine, [10 + index], [other]));
  endUpstreams(quarantine, [1, 2], [request]);
  settle(quarantine);
  expect(quarantine.findRefused(request)).toBeUndefined();
  endUpstreams(quarantine, [3, 4, 5], [request]);
  settle(quarantine);
  expect(quarantine.findRefused(request)).toBeDefined();
});

// Guards against a rack that takes a thousand open requests with it and hides the one that crashes.
test('the request that crashes upstreams stays known among a thousand lost ones', () => {
  const quarantine = new CrashQuarantine();
  endUpstreams(quarantine, [1], [request]);
  const lost = Array.from({ length: 1_000 }, (_, id) => makeRequest({ target: `/other?id=${id}` }));
  endUpstreams(quarantine, [2], [request, ...lost]);
  expect(quarantine.dump().length).toBeLessThanOrEqual(256);
  endUpstreams(quarantine, [3, 4], [request]);
  settle(quarantine);
  expect(quarantine.findRefused(request)).toBeDefined();
  expect(lost.filter((one) => quarantine.findRefused(one))).toEqual([]);
});

test('a refusal of a request ends by age and is lifted by hand', () => {
  const quarantine = new CrashQuarantine();
  endUpstreams(quarantine, [1, 2, 3], [request]);
  settle(quarantine);
  const { digest } = quarantine.findRefused(request)!;
  expect(quarantine.lift(digest)).toBe(true);
  expect(quarantine.findRefused(request)).toBeUndefined();
  vi.advanceTimersByTime(END_WINDOW_MS);
  endUpstreams(quarantine, [4, 5, 6], [request]);
  settle(quarantine);
  expect(quarantine.findRefused(request)).toBeDefined();
  vi.advanceTimersByTime(601_000);
  quarantine.takeRows();
  expect(quarantine.findRefused(request)).toBeUndefined();
});
