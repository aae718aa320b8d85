import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import type { SlotPolicy } from '@goldcrestscale/core';
import { SlotsController } from '../index.js';
import { createUnleasedPolicies, LocalCountPolicy, StaticSplitPolicy } from './naivePolicies.js';
import { MAX_CONCURRENT, SlotSimulation } from './slotSimulation.js';
import type { Fault, PolicyDependencies } from './slotSimulation.js';

const VM_COUNT = 5;

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

const createLeasedPolicy = (parts: PolicyDependencies): SlotPolicy => {
  const { link, leaseStream, listLive, listEntryVms } = parts;
  const fleet = { link, leaseStream, listLive, listEntryVms };
  const controller = new SlotsController({ self: link.self, fleet });
  controller.start(parts.signal).catch(() => undefined);
  return controller.slots;
};

const runSimulation = async (
  createPolicy: (parts: PolicyDependencies) => SlotPolicy,
  faults: readonly Fault[],
  durationMs: number,
) => {
  const simulation = new SlotSimulation(VM_COUNT, createPolicy);
  faults.forEach((fault) => simulation.applyFault(fault));
  await vi.advanceTimersByTimeAsync(durationMs);
  simulation.close();
  vi.clearAllTimers();
  return simulation.upstream;
};

const vmIndexes = Array.from({ length: VM_COUNT }, (_, index) => index);
const scenarios: [string, readonly Fault[]][] = [
  ['no fault', []],
  [
    'unannounced reboots',
    [30, 50, 70].map((s) => ({ kind: 'reboot', index: 0, atMs: s * 1_000, durationMs: 1 })),
  ],
  [
    'each VM paused, with reboots',
    vmIndexes.flatMap((index): Fault[] => [
      { kind: 'pause', index, atMs: 20_000 + index * 10_000, durationMs: 25_000 },
      { kind: 'reboot', index: 0, atMs: 22_000 + index * 10_000, durationMs: 1 },
    ]),
  ],
  [
    'each VM cut from the log, with reboots',
    vmIndexes.flatMap((index): Fault[] => [
      { kind: 'cutFromLog', index, atMs: 20_000 + index * 10_000, durationMs: 25_000 },
      { kind: 'reboot', index: 0, atMs: 37_000 + index * 10_000, durationMs: 1 },
    ]),
  ],
  [
    'network partition',
    [
      { kind: 'split', index: 1, atMs: 20_000, durationMs: 40_000 },
      { kind: 'reboot', index: 0, atMs: 25_000, durationMs: 1 },
      { kind: 'reboot', index: 0, atMs: 45_000, durationMs: 1 },
      { kind: 'reboot', index: 0, atMs: 62_000, durationMs: 1 },
    ],
  ],
  [
    'log outage',
    [
      { kind: 'logOutage', index: 0, atMs: 20_000, durationMs: 40_000 },
      { kind: 'reboot', index: 0, atMs: 30_000, durationMs: 1 },
      { kind: 'reboot', index: 0, atMs: 50_000, durationMs: 1 },
    ],
  ],
];

test.each(scenarios)('cold concurrency limit is never exceeded: %s', async (_name, faults) => {
  const upstream = await runSimulation(createLeasedPolicy, faults, 120_000);
  expect(upstream.overshoot).toBe(0);
  expect(upstream.totalCompleted).toBeGreaterThan(60);
});

const faultyPolicies: [
  string,
  () => (parts: PolicyDependencies) => SlotPolicy,
  readonly Fault[],
][] = [
  ['full limit per VM', () => () => new LocalCountPolicy(), []],
  ['static share per VM', () => () => new StaticSplitPolicy(VM_COUNT), []],
  ['granter without a lease', createUnleasedPolicies, scenarios[4]?.[1] ?? []],
];

test.each(faultyPolicies)(
  'the check detects a faulty policy: %s',
  async (_name, create, faults) => {
    const upstream = await runSimulation(create(), faults, 120_000);
    expect(upstream.overshoot).toBeGreaterThan(0);
  },
);

const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom('reboot', 'pause', 'cutFromLog', 'split', 'logOutage'),
  index: fc.integer({ min: 0, max: VM_COUNT - 1 }),
  atMs: fc.integer({ min: 5_000, max: 80_000 }),
  durationMs: fc.integer({ min: 500, max: 40_000 }),
});

test('cold concurrency limit is never exceeded: random faults', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(faultArbitrary, { minLength: 2, maxLength: 10 }), async (faults) => {
      const upstream = await runSimulation(createLeasedPolicy, faults, 90_000);
      expect(upstream.overshoot).toBe(0);
    }),
    { seed: 1, numRuns: 6 },
  );
});

test('warm upstream is fully used, and keeps working during a log outage', async () => {
  const simulation = new SlotSimulation(VM_COUNT, createLeasedPolicy, () => 200);
  await vi.advanceTimersByTimeAsync(60_000);
  const samples: number[] = [];
  simulation.applyFault({ kind: 'logOutage', index: 0, atMs: 10_000, durationMs: 60_000 });
  for (let second = 0; second < 60; second += 1) {
    await vi.advanceTimersByTimeAsync(1_000);
    samples.push(simulation.upstream.inFlight);
  }
  simulation.close();
  expect(Math.min(...samples)).toBeGreaterThanOrEqual(VM_COUNT);
  const before = samples.slice(0, 10).reduce((sum, count) => sum + count, 0) / 10;
  expect(before).toBeGreaterThan(0.9 * MAX_CONCURRENT);
});

test('a single VM grants itself slots', async () => {
  const createAlone = ({ link, signal }: PolicyDependencies): SlotPolicy => {
    const controller = new SlotsController({ self: link.self });
    controller.start(signal).catch(() => undefined);
    return controller.slots;
  };
  const simulation = new SlotSimulation(1, createAlone, () => 150);
  simulation.applyFault({ kind: 'reboot', index: 0, atMs: 30_000, durationMs: 1 });
  await vi.advanceTimersByTimeAsync(60_000);
  simulation.close();
  expect(simulation.upstream.overshoot).toBe(0);
  expect(simulation.upstream.totalCompleted).toBeGreaterThan(60);
});
