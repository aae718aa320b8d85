import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { MAX_FAILURE_LOAD_MS } from '../constants.js';
import { FailureLoad } from '../failureLoad.js';
import { makeTracked, makeUpstream } from './fixtures.js';

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

/** Sums the load of a failure over time, in requests times milliseconds. */
const sumLoadMs = (load: FailureLoad): number => {
  let sum = 0;
  for (let atMs = 0; atMs < 100_000; atMs += 10) {
    sum += load.requests * 10;
    vi.advanceTimersByTime(10);
  }
  return sum;
};

test('a failure costs at least as much as a sound request, and a bounded time', () => {
  [undefined, 1, 20, 400, 4_000, 60_000].forEach((runMs) => {
    const load = new FailureLoad();
    load.record({ runMs, prefillMs: 0 });
    const sumMs = sumLoadMs(load);
    expect(sumMs).toBeGreaterThanOrEqual(Math.min(runMs ?? 0, MAX_FAILURE_LOAD_MS));
    expect(sumMs).toBeLessThan(MAX_FAILURE_LOAD_MS * 1.1);
    expect(load.requests).toBeLessThan(0.01);
  });
});

test('failed prompts queue one behind the other, up to a limit', () => {
  const load = new FailureLoad();
  load.record({ runMs: 10, prefillMs: 100 });
  load.record({ runMs: 10, prefillMs: 100 });
  expect(load.queueMs).toBe(400);
  vi.advanceTimersByTime(300);
  expect(load.queueMs).toBe(100);
  for (let count = 0; count < 1_000; count += 1) load.record({ runMs: 10, prefillMs: 100 });
  expect(load.queueMs).toBe(MAX_FAILURE_LOAD_MS);
});

test('a restart ends the load of the failures before it', () => {
  const upstream = makeTracked('e0');
  upstream.failureLoad.record({ runMs: 1_000, prefillMs: 100 });
  upstream.update(makeUpstream('e0', { heartbeat: 2 }));
  expect(upstream.failureLoad.requests).toBe(1);
  upstream.update(makeUpstream('e0', { startedAtMs: 2_000 }));
  expect(upstream.failureLoad.requests).toBe(0);
  expect(upstream.failureLoad.queueMs).toBe(0);
});
