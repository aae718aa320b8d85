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

/** Lets the time pass and the quarantines notice it. */
const settle = (...quarantines: readonly CrashQuarantine[]): void => {
  vi.advanceTimersByTime(SETTLED_MS);
  quarantines.forEach((quarantine) => quarantine.takeRows());
};

test('a request that alone ended two upstreams is held, tried once, and refused after a third', () => {
  const quarantine = new CrashQuarantine();
  endUpstreams(quarantine, [1, 2], [request]);
  expect(quarantine.findRefused(request)).toBeUndefined();
  expect(quarantine.computeHoldMs(request)).toBeGreaterThan(0);
  settle(quarantine);
  expect(quarantine.computeHoldMs(request)).toBe(0);
  const trial = quarantine.beginTrial(request);
  for (let count = 0; count < 5; count += 1) {
    expect(quarantine.computeHoldMs(request)).toBeGreaterThan(0);
    settle(quarantine);
  }
  quarantine.recordCrash(request, makeBoot(3));
  trial?.finish();
  expect(quarantine.findRefused(request)).toMatchObject({ kind: 'request' });
});

// Guards against sends between the end of the hold and the next gossip, which alone began a refusal.
test('a request is refused from the moment on at which it is not held any more', () => {
  const quarantine = new CrashQuarantine();
  endUpstreams(quarantine, [1, 2, 3], [request]);
  vi.advanceTimersByTime(quarantine.computeHoldMs(request) - 1);
  expect(quarantine.findRefused(request)).toBeUndefined();
  vi.advanceTimersByTime(1);
  expect(quarantine.computeHoldMs(request)).toBe(0);
  expect(quarantine.findRefused(request)).toBeDefined();
});

const VMS = 9;

/** Creates VMs by rank, which have all received two ends under the request. */
const createHoldingVms = (): readonly CrashQuarantine[] => {
  const vms = Array.from({ length: VMS }, (_, rank) => new CrashQuarantine(undefined, () => rank));
  endUpstreams(vms[0]!, [1, 2], [request]);
  const rows = vms[0]!.takeRows();
  vms.forEach((vm) => vm.merge(rows));
  return vms;
};

/** Passes the rows of each VM on to all others. */
const shareRows = (vms: readonly CrashQuarantine[]): void =>
  vms.forEach((from) => {
    const rows = from.takeRows();
    vms.forEach((to) => to.merge(rows));
  });

const listTrying = (vms: readonly CrashQuarantine[]): readonly number[] =>
  [...vms.keys()].filter((rank) => vms[rank]!.computeHoldMs(request) === 0);

// Guards against a request that ends an upstream for each VM that tries it.
test('one VM tries a held request, however long it runs, and its answer frees all', () => {
  const vms = createHoldingVms();
  settle(...vms);
  expect(listTrying(vms)).toEqual([0]);
  const trial = vms[0]!.beginTrial(request);
  for (let elapsedMs = 0; elapsedMs < 60_000; elapsedMs += 500) {
    shareRows(vms);
    expect(listTrying(vms)).toEqual([]);
    vi.advanceTimersByTime(500);
  }
  vms[0]!.recordSurvival(request);
  trial?.finish();
  shareRows(vms);
  expect(listTrying(vms)).toHaveLength(VMS);
  expect(vms.some((vm) => vm.hasSuspect(request))).toBe(false);
});

// Guards against a sound request that stays held because the VM that should try it never gets it.
test('other VMs try a held request after turns without a trial', () => {
  const vms = createHoldingVms();
  settle(...vms);
  const [, second, ninth] = [0, 1, 8].map((rank) => vms[rank]!.computeHoldMs(request));
  expect(second).toBeLessThan(ninth!);
  vi.advanceTimersByTime(second!);
  expect(listTrying(vms)).toEqual([0, 1, 2, 3, 4, 5, 6, 7]);
  vi.advanceTimersByTime(ninth! - second!);
  expect(listTrying(vms)).toHaveLength(VMS);
});

test('a trial that shows nothing is followed by another after a turn', () => {
  const vms = createHoldingVms();
  settle(...vms);
  vms[0]!.beginTrial(request)?.finish();
  shareRows(vms);
  expect(listTrying(vms)).toEqual([]);
  const holdMs = vms[0]!.computeHoldMs(request);
  vi.advanceTimersByTime(holdMs);
  expect(listTrying(vms)).toEqual([0]);
});

test('rows that VMs send back and forth do not prolong a trial that is over', () => {
  const vms = createHoldingVms();
  settle(...vms);
  vms[0]!.beginTrial(request)?.finish();
  for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 500) {
    shareRows(vms);
    vi.advanceTimersByTime(500);
  }
  expect(listTrying(vms)).toHaveLength(VMS);
});

// Guards against the refusal of a sound request, because two upstreams ended under it for another reason.
test('a sound request under which two upstreams ended is served again', () => {
  const quarantine = new CrashQuarantine();
  endUpstreams(quarantine, [1, 2], [request]);
  let served = 0;
  for (let count = 0; count < 10; count += 1) {
    expect(quarantine.findRefused(request)).toBeUndefined();
    if (quarantine.computeHoldMs(request) === 0) {
      quarantine.recordSurvival(request);
      served += 1;
    }
    vi.advanceTimersByTime(SETTLED_MS);
    quarantine.takeRows();
  }
  expect(served).toBeGreaterThanOrEqual(9);
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
