import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { isGoldcrestError } from '../../errors.js';
import { toId } from '../../ids.js';
import type { WorkloadId } from '../../ids.js';
import type { AdmissionPolicy } from '../admissionPolicy.js';
import { FairSharePolicy } from '../fairSharePolicy.js';
import { computeMaxMinShares } from '../maxMinShares.js';
import { AdmissionFleet, advanceFleet, makeRequest } from './admissionFleet.js';
import type { FleetOptions } from './admissionFleet.js';
import { FifoPolicy, StaticSplitPolicy } from './naivePolicies.js';

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

const VM_COUNT = 9;
const CAPACITY = 64;
const SERVICE_MS = 1_000;

const createFleet = (createPolicy: () => AdmissionPolicy, options: Partial<FleetOptions> = {}) =>
  new AdmissionFleet({
    vmCount: VM_COUNT,
    capacity: CAPACITY,
    reportDelayMs: 5,
    createPolicy,
    ...options,
  });

/** Runs an action at a fixed interval with a single timer. */
const repeatEvery = (intervalMs: number, count: number, action: (index: number) => void): void => {
  let index = 0;
  const timer = setInterval(() => {
    action(index);
    index += 1;
    if (index === count) clearInterval(timer);
  }, intervalMs);
};

const REFUSED_WAIT_MS = 2_000;

/**
 * Offers requests at a constant rate, spread over the VMs; a refusal counts as a wait of
 * REFUSED_WAIT_MS.
 */
const offerLoad = (
  fleet: AdmissionFleet,
  account: string,
  perSecond: number,
  durationMs: number,
) => {
  const outcome = { started: 0, refused: 0, waits: [] as number[] };
  repeatEvery(1_000 / perSecond, (perSecond * durationMs) / 1_000, (index) => {
    const arrivedAtMs = Date.now();
    const request = makeRequest(account, { deadlineAtMs: performance.now() + REFUSED_WAIT_MS });
    fleet.acquire((index * 5) % fleet.queues.length, request).then(
      (permit) => {
        outcome.started += 1;
        outcome.waits.push(Date.now() - arrivedAtMs);
        setTimeout(() => fleet.release(permit), SERVICE_MS);
      },
      () => {
        outcome.refused += 1;
        outcome.waits.push(REFUSED_WAIT_MS);
      },
    );
  });
  return outcome;
};

const getP95 = (values: readonly number[]): number =>
  values.toSorted((left, right) => left - right)[Math.floor(values.length * 0.95)] ?? 0;

const measureOverload = async (createPolicy: () => AdmissionPolicy) => {
  const fleet = createFleet(createPolicy);
  const large = offerLoad(fleet, 'large', 2 * CAPACITY, 20_000);
  const small = offerLoad(fleet, 'small', 5, 20_000);
  await advanceFleet(30_000);
  fleet.close();
  return { fleet, large, small, goodput: (large.started + small.started) / (CAPACITY * 20) };
};

test('a small account is not delayed by an overloading account', async () => {
  const fair = await measureOverload(() => new FairSharePolicy());
  expect(fair.small.refused).toBe(0);
  expect(getP95(fair.small.waits)).toBeLessThanOrEqual(100);
  expect(fair.goodput).toBeGreaterThan(0.9);
  const fifo = await measureOverload(() => new FifoPolicy());
  expect(getP95(fifo.small.waits)).toBeGreaterThan(100);
});

test('an account can use the capacity that others leave unused', async () => {
  const measureAlone = async (createPolicy: () => AdmissionPolicy) => {
    const fleet = createFleet(createPolicy);
    const outcome = offerLoad(fleet, 'large', 2 * CAPACITY, 20_000);
    await advanceFleet(30_000);
    fleet.close();
    return outcome.started / (CAPACITY * 20);
  };
  expect(await measureAlone(() => new FairSharePolicy())).toBeGreaterThan(0.9);
  expect(await measureAlone(() => new StaticSplitPolicy(10))).toBeLessThan(0.9);
});

test('the fleet exceeds its capacity by at most a bounded amount', async () => {
  const measurePeak = async (createPolicy: () => AdmissionPolicy, reportDelayMs?: number) => {
    const fleet = createFleet(createPolicy, { reportDelayMs });
    for (let vm = 0; vm < VM_COUNT; vm += 1) {
      for (let index = 0; index < 3 * CAPACITY; index += 1) {
        fleet.run(vm, makeRequest(`account-${index % 3}`), SERVICE_MS).catch(() => undefined);
      }
    }
    await advanceFleet(300);
    const first = fleet.peakRunning;
    fleet.peakRunning = 0;
    await advanceFleet(10_000);
    fleet.close();
    return { first, later: fleet.peakRunning };
  };
  const fair = await measurePeak(() => new FairSharePolicy(), 5);
  expect(fair.first).toBeLessThanOrEqual(2 * CAPACITY + 3 * VM_COUNT);
  expect(fair.later).toBeLessThanOrEqual(CAPACITY + VM_COUNT);
  const isolated = await measurePeak(() => new FairSharePolicy());
  expect(isolated.later).toBeLessThanOrEqual(CAPACITY + 3 * VM_COUNT);
  expect(isolated.later).toBeGreaterThan(CAPACITY / 2);
});

test('the rate limit of an account applies across the fleet', async () => {
  const measure = async (createPolicy: () => AdmissionPolicy) => {
    const fleet = createFleet(createPolicy);
    let started = 0;
    repeatEvery(5, 4_000, (index) => {
      const request = makeRequest('limited', { maxRequestsPerSecond: 20 });
      fleet.run(index % VM_COUNT, request, 1).then(
        () => {
          started += 1;
        },
        () => undefined,
      );
    });
    await advanceFleet(25_000);
    fleet.close();
    return started / 20;
  };
  const fair = await measure(() => new FairSharePolicy());
  expect(fair).toBeLessThanOrEqual(20 * 1.1);
  expect(fair).toBeGreaterThan(20 * 0.8);
  expect(await measure(() => new FifoPolicy())).toBeGreaterThan(20 * 1.1);
});

test('the concurrency limit of an account applies across the fleet', async () => {
  const measure = async (createPolicy: () => AdmissionPolicy) => {
    const fleet = createFleet(createPolicy);
    repeatEvery(10, 2_000, (index) => {
      const request = makeRequest('limited', { maxConcurrent: 10 });
      fleet.run(index % VM_COUNT, request, 500).catch(() => undefined);
    });
    await advanceFleet(2_000);
    fleet.peakRunning = 0;
    await advanceFleet(15_000);
    fleet.close();
    return fleet.peakRunning;
  };
  const peak = await measure(() => new FairSharePolicy());
  expect(peak).toBeLessThanOrEqual(10 + VM_COUNT);
  expect(peak).toBeGreaterThanOrEqual(8);
  expect(await measure(() => new FifoPolicy())).toBeGreaterThan(10 + VM_COUNT);
});

test('an overload refusal is immediate, and a retry after retryAfterMs succeeds', async () => {
  const fleet = createFleet(() => new FairSharePolicy(), { vmCount: 1, capacity: 8 });
  offerLoad(fleet, 'large', 8, 6_000);
  await advanceFleet(3_000);
  for (let index = 0; index < 40; index += 1) {
    fleet.run(0, makeRequest('large'), SERVICE_MS).catch(() => undefined);
  }
  await advanceFleet(300);
  const askedAtMs = Date.now();
  const ask = () =>
    fleet.run(0, makeRequest('large', { deadlineAtMs: performance.now() + 1_000 }), 1);
  const error: unknown = await ask().catch((cause: unknown) => cause);
  expect(Date.now() - askedAtMs).toBe(0);
  if (!isGoldcrestError(error)) throw new Error('expected the request to be refused');
  expect(error).toMatchObject({ code: 'overloaded', status: 503, verdict: 'not-run' });
  await advanceFleet(error.retryAfterMs! * 1.5);
  const again = ask();
  await advanceFleet(1_500);
  await expect(again).resolves.toBeUndefined();
  fleet.close();
});

test('a waiting request is refused once it cannot meet its deadline', async () => {
  const fleet = createFleet(() => new FairSharePolicy(), { vmCount: 1, capacity: 2 });
  const hold = makeRequest('a');
  fleet.run(0, hold, 60_000).catch(() => undefined);
  fleet.run(0, hold, 60_000).catch(() => undefined);
  const waiting = fleet.run(0, makeRequest('a', { deadlineAtMs: performance.now() + 1_000 }), 1);
  const caught = waiting.catch((cause: unknown) => cause);
  await advanceFleet(1_050);
  expect(await caught).toMatchObject({ code: 'overloaded', verdict: 'not-run' });
  fleet.close();
});

test('requests start by priority class, then by workload weight', async () => {
  const fleet = createFleet(() => new FairSharePolicy(), { vmCount: 1, capacity: 1 });
  const order: string[] = [];
  const add = (workload: string, priority: number, workloadWeight: number) => {
    const workloadId = toId<WorkloadId>(workload);
    const request = makeRequest('a', { workloadId, priority, workloadWeight });
    fleet.run(0, request, 100).then(
      () => order.push(workload),
      () => undefined,
    );
  };
  add('first', 5, 1);
  for (let index = 0; index < 6; index += 1) {
    add('light', 5, 1);
    add('heavy', 5, 2);
  }
  add('urgent', 0, 1);
  await advanceFleet(5_000);
  expect(order.slice(0, 2)).toEqual(['first', 'urgent']);
  expect(order.slice(2, 8).filter((one) => one === 'heavy')).toHaveLength(4);
  fleet.close();
});

test('an aborted request leaves the queue, and a permit is released only once', async () => {
  const fleet = createFleet(() => new FairSharePolicy(), { vmCount: 1, capacity: 1 });
  const [queue] = fleet.queues;
  const permit = await queue!.acquire(makeRequest('a'), new AbortController().signal);
  const caller = new AbortController();
  const waiting = queue!.acquire(makeRequest('a'), caller.signal).catch(() => 'gone');
  caller.abort();
  expect(await waiting).toBe('gone');
  permit.release();
  permit.release();
  await queue!.acquire(makeRequest('a'), new AbortController().signal);
  expect(queue!.reportUsage()).toMatchObject([{ running: 1, waiting: 0 }]);
  fleet.close();
});

test('shares are weighted max-min fair', () => {
  const demand = fc.record({
    weight: fc.integer({ min: 1, max: 10 }),
    demand: fc.integer({ min: 0, max: 100 }),
  });
  fc.assert(
    fc.property(
      fc.integer({ min: 0, max: 200 }),
      fc.array(demand, { maxLength: 12 }),
      (capacity, demands) => {
        const shares = computeMaxMinShares(capacity, demands);
        const sum = shares.reduce((total, share) => total + share, 0);
        const wanted = demands.reduce((total, one) => total + one.demand, 0);
        expect(sum).toBeCloseTo(Math.min(capacity, wanted), 6);
        const levels = demands.map((one, index) => shares[index]! / one.weight);
        demands.forEach((one, index) => {
          expect(shares[index]!).toBeLessThanOrEqual(one.demand + 1e-9);
          // An account whose demand is not met has the highest share per weight.
          if (shares[index]! < one.demand - 1e-6) {
            expect(levels[index]!).toBeGreaterThanOrEqual(Math.max(...levels) - 1e-6);
          }
        });
      },
    ),
    { seed: 1, numRuns: 300 },
  );
});

// Guards against starting a request whose deadline passed while the process stood still.
test('an expired request is refused and the next one started', async () => {
  const fleet = createFleet(() => new FairSharePolicy(), { vmCount: 1, capacity: 1 });
  const permit = await fleet.acquire(0, makeRequest('a'));
  const expired = fleet
    .acquire(0, makeRequest('a', { deadlineAtMs: performance.now() + 10_000 }))
    .catch((cause: unknown) => cause);
  const next = fleet.acquire(0, makeRequest('a', { deadlineAtMs: performance.now() + 90_000 }));
  const { now } = performance;
  vi.spyOn(performance, 'now').mockImplementation(() => now.call(performance) + 20_000);
  fleet.release(permit);
  expect(await expired).toMatchObject({ code: 'overloaded', verdict: 'not-run' });
  fleet.release(await next);
  vi.restoreAllMocks();
  fleet.close();
});

// Guards against queueing a request whose caller left before it came to the queue (GONE).
test('a request whose caller has left is refused', async () => {
  const fleet = createFleet(() => new FairSharePolicy(), { vmCount: 1, capacity: 1 });
  const run = fleet.queues[0]!.acquire(makeRequest('a'), AbortSignal.abort());
  await expect(run).rejects.toMatchObject({ code: 'overloaded', verdict: 'not-run' });
  fleet.close();
});
