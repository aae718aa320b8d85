import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { UpstreamId, VmId } from '../../ids.js';
import { ColdStartBudget, computeColdStartShare } from '../index.js';
import type { ColdStartShare } from '../index.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const UPSTREAM = toId<UpstreamId>('engine');

const makeFleet = (size: number): VmId[] =>
  Array.from({ length: size }, (_, index) => toId<VmId>(`vm-${index}`));

/** Every VM tries to send a request every 5 ms; returns the maximum sent in any one second. */
const measurePeak = (fleet: readonly VmId[], getShare: (vm: VmId) => ColdStartShare): number => {
  const budgets = new Map(fleet.map((vm) => [vm, new ColdStartBudget()]));
  const sentAtMs: number[] = [];
  let peak = 0;
  for (let step = 0; step < 600; step += 1) {
    fleet.forEach((vm) => {
      if (budgets.get(vm)!.tryTake(UPSTREAM, getShare(vm))) sentAtMs.push(performance.now());
    });
    const inSecond = sentAtMs.filter((atMs) => atMs > performance.now() - 1_000);
    peak = Math.max(peak, inSecond.length);
    vi.advanceTimersByTime(5);
  }
  return peak;
};

const limit = { requestsPerSecond: 16, rateFactor: 1.5, extraRequests: 5 };

test.each([1, 7, 9, 30, 86])(
  'a fleet of %i VMs stays within the limit without coordination',
  (size) => {
    const fleet = makeFleet(size);
    const peak = measurePeak(fleet, (self) =>
      computeColdStartShare({ self, sendingVms: fleet, upstreamId: UPSTREAM, limit }),
    );
    expect(peak).toBeLessThanOrEqual(
      limit.requestsPerSecond * limit.rateFactor + limit.extraRequests,
    );
    expect(peak).toBeGreaterThan(limit.requestsPerSecond / 2);
  },
);

// Guards against VMs that start while the heartbeats can't be read, and each take the whole limit.
test.each([1, 3, 7, 86])('%i VMs that know of nobody send nothing to a cold upstream', (size) => {
  const fleet = makeFleet(size);
  const peak = measurePeak(fleet, (self) =>
    computeColdStartShare({ self, sendingVms: undefined, upstreamId: UPSTREAM, limit }),
  );
  expect(peak).toBe(0);
});

test('a VM that knows that it is alone takes the whole limit', () => {
  const [self] = makeFleet(1);
  const share = computeColdStartShare({
    self: self!,
    sendingVms: [],
    upstreamId: UPSTREAM,
    limit,
  });
  expect(share.requestsPerSecond).toBeGreaterThan(limit.requestsPerSecond / 2);
});

test('giving every VM the full rate exceeds the limit', () => {
  const naive: ColdStartShare = { burst: 1, requestsPerSecond: limit.requestsPerSecond };
  const peak = measurePeak(makeFleet(7), () => naive);
  expect(peak).toBeGreaterThan(limit.requestsPerSecond * limit.rateFactor + limit.extraRequests);
});

test('the shares of a fleet of any size add up to at most the limit', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 200 }),
      fc.double({ min: 1, max: 50, noNaN: true }),
      (size, requestsPerSecond) => {
        const fleet = makeFleet(size);
        const shares = fleet.map((self) =>
          computeColdStartShare({
            self,
            sendingVms: fleet,
            upstreamId: UPSTREAM,
            limit: { requestsPerSecond, rateFactor: 1.5, extraRequests: 5 },
          }),
        );
        const total = shares.reduce((sum, one) => sum + one.burst + one.requestsPerSecond, 0);
        return total <= requestsPerSecond * 1.5 + 5;
      },
    ),
  );
});
