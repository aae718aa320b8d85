import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import fc from 'fast-check';
import { EntryRoster, ROSTER_LAG_MS } from '../../fleet/index.js';
import { toId } from '../../ids.js';
import type { AvailabilityZoneId, BootId, ServiceName, VmId } from '../../ids.js';
import { FleetRetryBudget } from '../index.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const SERVICE = toId<ServiceName>('service');

const limit = { ratio: 0.2, allowance: 54, windowMs: 10_000, allowanceDelayMs: 0 };

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

const STEP_MS = 200;

const HEARTBEAT_STEPS = 7;

/** A VM starts or starts again; others know of it, and it of them, only after a time. */
interface Start {
  readonly vm: number;
  readonly step: number;
  /** Steps until it has read the heartbeats; the topic may be down. */
  readonly blindSteps: number;
}

type CreateBudget = (roster: EntryRoster) => FleetRetryBudget;

const createBudget: CreateBudget = (roster) =>
  new FleetRetryBudget(
    { ...limit, allowanceDelayMs: limit.windowMs + ROSTER_LAG_MS },
    () => roster.findAllSenders()?.length,
  );

/** Takes whom it has heard of for the whole fleet, from its first moment on. */
const createNaiveBudget: CreateBudget = (roster) =>
  new FleetRetryBudget(limit, () => roster.listPossibleSenders().length);

const makeHeartbeat = (vm: number) => ({
  vmId: toId<VmId>(`vm-${vm}`),
  bootId: toId<BootId>('boot'),
  availabilityZone: toId<AvailabilityZoneId>('z'),
  address: 'a:1',
  meshAddress: 'a:2',
  meshKey: 'key',
  leaving: false,
  size: 1,
});

/**
 * Plays a fleet in which every request fails and is sent again while the budget allows.
 *
 * @returns how many repeats beyond the limit the busiest window has
 */
const measureExcess = (starts: readonly Start[], create: CreateBudget): number => {
  const vms = new Map<
    number,
    { budget: FleetRetryBudget; roster: EntryRoster; seesFrom: number }
  >();
  const sentAtMs: number[] = [];
  const repeatedAtMs: number[] = [];
  let excess = -Infinity;
  for (let step = 0; step < 300; step += 1) {
    starts
      .filter((start) => start.step === step)
      .forEach(({ vm, blindSteps }) => {
        const roster = new EntryRoster();
        vms.set(vm, { roster, budget: create(roster), seesFrom: step + blindSteps });
      });
    vms.forEach(({ budget, roster, seesFrom }) => {
      if (step >= seesFrom && (step - seesFrom) % HEARTBEAT_STEPS === 0) {
        roster.recordSnapshot([]);
        vms.forEach((_, vm) => roster.recordHeartbeat(makeHeartbeat(vm)));
      }
      budget.recordRequest(SERVICE);
      sentAtMs.push(performance.now());
      while (budget.tryRetry(SERVICE)) repeatedAtMs.push(performance.now());
    });
    const endMs = performance.now();
    const count = (times: readonly number[], fromMs: number, untilMs: number): number =>
      times.filter((atMs) => atMs > fromMs && atMs <= untilMs).length;
    const sent = [0, limit.windowMs / 2, limit.windowMs].map((earlierMs) =>
      count(sentAtMs, endMs - earlierMs - limit.windowMs, endMs - earlierMs),
    );
    const allowed = Math.max(...sent) * limit.ratio + limit.allowance;
    excess = Math.max(excess, count(repeatedAtMs, endMs - limit.windowMs, endMs) - allowed);
    vi.advanceTimersByTime(STEP_MS);
  }
  return excess;
};

const FLEET_SIZE = 7;

const allAtOnce = (step: number, blindSteps: number): Start[] =>
  Array.from({ length: FLEET_SIZE }, (_, vm) => ({ vm, step, blindSteps }));

const anyStart = fc.record({
  vm: fc.nat(FLEET_SIZE + 1),
  step: fc.integer({ min: 1, max: 280 }),
  blindSteps: fc.integer({ min: 0, max: 120 }),
});

const LATE_HEARTBEATS = allAtOnce(0, 50);

const RESTARTS = [...allAtOnce(0, 0), ...allAtOnce(100, 0), ...allAtOnce(125, 0)];

const LATE_RESTARTS = [...RESTARTS, ...allAtOnce(150, 30)];

// Guards against VMs that take the whole allowance, or a part that was used before, just after their start.
test('a fleet whose VMs start again, come late or hear of nobody stays within the limit', () => {
  fc.assert(
    fc.property(fc.array(anyStart, { maxLength: 30 }), fc.nat(40), (starts, blindSteps) => {
      const all = [...allAtOnce(0, blindSteps), ...starts];
      expect(measureExcess(all, createBudget)).toBeLessThanOrEqual(0);
    }),
    { numRuns: 40 },
  );
}, 60_000);

test.each([
  ['hears of the others late', LATE_HEARTBEATS],
  ['starts again twice', RESTARTS],
  ['starts again and hears of the others late', LATE_RESTARTS],
])(
  'a fleet of which each VM %s stays within the limit, which the naive one exceeds',
  (_, starts) => {
    expect(measureExcess(starts, createBudget)).toBeLessThanOrEqual(0);
    expect(measureExcess(starts, createNaiveBudget)).toBeGreaterThan(0);
  },
);
