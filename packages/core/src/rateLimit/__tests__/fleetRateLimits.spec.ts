import { withGlobal } from '@sinonjs/fake-timers';
import { afterEach, beforeEach, expect, onTestFinished, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { UpstreamId, VmId } from '../../ids.js';
import { AnnouncedRates, FleetRateLimits } from '../index.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const boot = { upstreamId: toId<UpstreamId>('engine'), startedAtMs: 1 };

const demand = { maxWaitMs: 0, priority: 0 };

const serving = ['vm-1', 'vm-2', 'vm-3'].map((name) => toId<VmId>(name));

/** Creates the limits of three VMs; those in `silent` send no replies. */
const createFleet = (
  silent: ReadonlySet<VmId>,
  advance: (durationMs: number) => unknown = (durationMs) => vi.advanceTimersByTime(durationMs),
) => {
  const limits = new Map<VmId, FleetRateLimits>();
  const requested: VmId[] = [];
  serving.forEach((self) => {
    const rates = new AnnouncedRates();
    rates.record(boot, 2);
    const options = {
      self,
      rates,
      listServing: () => serving,
      sendPermitRequest: (
        granter: VmId,
        request: Parameters<FleetRateLimits['handlePermitRequest']>[1],
      ) => {
        requested.push(granter);
        if (silent.has(granter)) return;
        const reply = limits.get(granter)!.handlePermitRequest(self, request);
        limits.get(self)!.handleReply(granter, reply);
      },
    };
    limits.set(self, new FleetRateLimits(options));
  });
  limits.forEach((one) => one.refresh());
  advance(3_000);
  const { granters } = limits.get(serving[0]!)!.dump()[0]!;
  const other = serving.find((vmId) => !granters.includes(vmId))!;
  return { limits, requested, granters, requester: limits.get(other)! };
};

test('a VM gets a permit from the first granter, and takes it once', async () => {
  const { requester, requested, granters } = createFleet(new Set());
  expect(requester.tryTake(boot)).toBe(false);
  await requester.acquire(boot, demand);
  expect(requested).toEqual([granters[0]]);
  expect(requester.tryTake(boot)).toBe(true);
  expect(requester.tryTake(boot)).toBe(false);
});

test('an unused permit expires', async () => {
  const { requester } = createFleet(new Set());
  await requester.acquire(boot, demand);
  vi.advanceTimersByTime(301);
  expect(requester.tryTake(boot)).toBe(false);
});

// Guards against a permit that is used long after its time, because the VM stood still meanwhile.
test('a permit whose time passed while the VM stood still is not used', async () => {
  vi.useRealTimers();
  const clock = withGlobal(globalThis).install();
  onTestFinished(() => clock.uninstall());
  const { requester } = createFleet(new Set(), clock.tick);
  const patientDemand = { maxWaitMs: 2_000, priority: 0 };
  await requester.acquire(boot, patientDemand);
  await requester.acquire(boot, patientDemand);
  const acquired = requester.acquire(boot, patientDemand);
  await clock.tickAsync(1);
  clock.jump(3_000);
  await acquired;
  expect(requester.tryTake(boot)).toBe(false);
});

// Guards against an upstream that gets nothing while the VM that grants its permits is gone.
test('the second granter stands in for one that sends no reply', async () => {
  const [first] = createFleet(new Set()).granters;
  const { requester, requested, granters } = createFleet(new Set([first!]));
  const asked = requester.acquire(boot, demand);
  await vi.advanceTimersByTimeAsync(100);
  await asked;
  expect(requester.tryTake(boot)).toBe(false);
  await requester.acquire(boot, demand);
  expect(requested).toEqual(granters);
  expect(requester.tryTake(boot)).toBe(true);
});

test('without any granter nothing is sent, and the pause has an end', async () => {
  const { requester } = createFleet(new Set(serving));
  for (let count = 0; count < 3; count += 1) {
    const asked = requester.acquire(boot, demand);
    await vi.advanceTimersByTimeAsync(100);
    await asked;
  }
  expect(requester.tryTake(boot)).toBe(false);
  expect(requester.computeRetryAfterMs(boot)).toBeGreaterThan(0);
  vi.advanceTimersByTime(1_000);
  expect(requester.canAcquire(boot)).toBe(true);
});

test('an upstream without a limit needs no permit', () => {
  const { requester } = createFleet(new Set());
  expect(requester.tryTake({ ...boot, startedAtMs: 2 })).toBe(true);
});
