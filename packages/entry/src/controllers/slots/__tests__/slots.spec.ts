import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import type { SlotPolicy } from '@goldcrestscale/core';
import { SlotsController } from '../index.js';
import { createUnleasedPolicies, LocalCountPolicy, StaticSplitPolicy } from './naivePolicies.js';
import { MAX_CONCURRENT, SlotWorld } from './slotWorld.js';
import type { Fault, VmParts } from './slotWorld.js';

const VM_COUNT = 5;

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

const createLeased = (parts: VmParts): SlotPolicy => {
  const { link, leaseStream, listLive, listEntryVms } = parts;
  const fleet = { link, leaseStream, listLive, listEntryVms };
  const controller = new SlotsController({ self: link.self, fleet });
  controller.start(parts.signal).catch(() => undefined);
  return controller.slots;
};

const runWorld = async (
  createPolicy: (parts: VmParts) => SlotPolicy,
  faults: readonly Fault[],
  durationMs: number,
) => {
  const world = new SlotWorld(VM_COUNT, createPolicy);
  faults.forEach((fault) => world.applyFault(fault));
  await vi.advanceTimersByTimeAsync(durationMs);
  world.close();
  vi.clearAllTimers();
  return world.upstream;
};

const all = Array.from({ length: VM_COUNT }, (_, index) => index);
const scenarios: [string, readonly Fault[]][] = [
  ['no fault', []],
  [
    'reboots without notice',
    [30, 50, 70].map((s) => ({ kind: 'reboot', index: 0, atMs: s * 1_000, forMs: 1 })),
  ],
  [
    'each VM paused, with reboots',
    all.flatMap((index): Fault[] => [
      { kind: 'pause', index, atMs: 20_000 + index * 10_000, forMs: 25_000 },
      { kind: 'reboot', index: 0, atMs: 22_000 + index * 10_000, forMs: 1 },
    ]),
  ],
  [
    'each VM cut from the log, with reboots',
    all.flatMap((index): Fault[] => [
      { kind: 'cutFromLog', index, atMs: 20_000 + index * 10_000, forMs: 25_000 },
      { kind: 'reboot', index: 0, atMs: 37_000 + index * 10_000, forMs: 1 },
    ]),
  ],
  [
    'split membership',
    [
      { kind: 'split', index: 1, atMs: 20_000, forMs: 40_000 },
      { kind: 'reboot', index: 0, atMs: 25_000, forMs: 1 },
      { kind: 'reboot', index: 0, atMs: 45_000, forMs: 1 },
      { kind: 'reboot', index: 0, atMs: 62_000, forMs: 1 },
    ],
  ],
  [
    'log outage',
    [
      { kind: 'logOutage', index: 0, atMs: 20_000, forMs: 40_000 },
      { kind: 'reboot', index: 0, atMs: 30_000, forMs: 1 },
      { kind: 'reboot', index: 0, atMs: 50_000, forMs: 1 },
    ],
  ],
];

test.each(scenarios)('cold upstream never gets more than it bears: %s', async (_name, faults) => {
  const upstream = await runWorld(createLeased, faults, 120_000);
  expect(upstream.overshoot).toBe(0);
  expect(upstream.totalCompleted).toBeGreaterThan(60);
});

const naive: [string, () => (parts: VmParts) => SlotPolicy, readonly Fault[]][] = [
  ['each VM counts for itself', () => () => new LocalCountPolicy(), []],
  ['static split', () => () => new StaticSplitPolicy(VM_COUNT), []],
  ['granter without a lease', createUnleasedPolicies, scenarios[4]?.[1] ?? []],
];

test.each(naive)('the check catches: %s', async (_name, create, faults) => {
  const upstream = await runWorld(create(), faults, 120_000);
  expect(upstream.overshoot).toBeGreaterThan(0);
});

const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom('reboot', 'pause', 'cutFromLog', 'split', 'logOutage'),
  index: fc.integer({ min: 0, max: VM_COUNT - 1 }),
  atMs: fc.integer({ min: 5_000, max: 80_000 }),
  forMs: fc.integer({ min: 500, max: 40_000 }),
});

test('cold upstream never gets more than it bears: any faults', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(faultArbitrary, { minLength: 2, maxLength: 10 }), async (faults) => {
      const upstream = await runWorld(createLeased, faults, 90_000);
      expect(upstream.overshoot).toBe(0);
    }),
    { seed: 1, numRuns: 6 },
  );
});

test('warm upstream is used up, and goes on through a log outage', async () => {
  const world = new SlotWorld(VM_COUNT, createLeased, () => 200);
  await vi.advanceTimersByTimeAsync(60_000);
  const samples: number[] = [];
  world.applyFault({ kind: 'logOutage', index: 0, atMs: 10_000, forMs: 60_000 });
  for (let second = 0; second < 60; second += 1) {
    await vi.advanceTimersByTimeAsync(1_000);
    samples.push(world.upstream.inFlight);
  }
  world.close();
  expect(Math.min(...samples)).toBeGreaterThanOrEqual(VM_COUNT);
  const before = samples.slice(0, 10).reduce((sum, count) => sum + count, 0) / 10;
  expect(before).toBeGreaterThan(0.9 * MAX_CONCURRENT);
});

test('the only VM grants to itself', async () => {
  const createAlone = ({ link, signal }: VmParts): SlotPolicy => {
    const controller = new SlotsController({ self: link.self });
    controller.start(signal).catch(() => undefined);
    return controller.slots;
  };
  const world = new SlotWorld(1, createAlone, () => 150);
  world.applyFault({ kind: 'reboot', index: 0, atMs: 30_000, forMs: 1 });
  await vi.advanceTimersByTimeAsync(60_000);
  world.close();
  expect(world.upstream.overshoot).toBe(0);
  expect(world.upstream.totalCompleted).toBeGreaterThan(60);
});
