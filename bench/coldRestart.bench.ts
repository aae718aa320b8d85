import { BudgetedRetryPolicy, FairSharePolicy, createRandomGenerator } from '@goldcrestscale/core';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { Benchmark, Measurement } from './measurement.js';
import { runWithFakeClock } from './runWithFakeClock.js';
import { FifoAdmissionPolicy } from './fifoAdmissionPolicy.js';
import { SimulatedEntryFleet, createAccount } from './simulatedEntryFleet.js';
import type { FleetPolicies } from './simulatedEntryFleet.js';
import { createFleetSlots } from './fleetSlots.js';
import { UnbudgetedRetryPolicy } from './unbudgetedRetryPolicy.js';

const FLEET_SIZE = { vmCount: 9, engineCount: 8 };
const ENGINE_SLOTS = 8;
const COLD_SLOTS = 2;
const PREFILL_MS = 400;
const DECODE_MS = 1_200;
const ENGINE_CAPACITY_PER_SECOND = (ENGINE_SLOTS * 1_000) / (PREFILL_MS + DECODE_MS);
const OFFERED_PER_SECOND = ENGINE_CAPACITY_PER_SECOND * FLEET_SIZE.engineCount * 1.2;
const RESTART_AT_MS = 60_000;
const WINDOW_MS = 20_000;
const DEADLINE_MS = 4_000;

const createFairPolicies = (): FleetPolicies => ({
  createAdmission: () => new FairSharePolicy(),
  createRetries: (seed) => new BudgetedRetryPolicy(createRandomGenerator(seed)),
  createSlots: createFleetSlots(),
});

const naivePolicies: FleetPolicies = {
  createAdmission: () => new FifoAdmissionPolicy(),
  createRetries: () => new UnbudgetedRetryPolicy(),
};

interface SimulationResult {
  readonly peakColdInFlight: number;
  readonly crashes: number;
  /** Requests completed in the window after the restart / capacity of the remaining engines. */
  readonly throughputShare: number;
}

const startLoad = (fleet: SimulatedEntryFleet): void => {
  const random = createRandomGenerator(7);
  const accounts = ['a', 'b', 'c'].map((id) => createAccount(id, 1, DEADLINE_MS));
  const pickIndex = (count: number): number => Math.floor(uniformFloat64(random) * count);
  setInterval(() => {
    const rows = accounts[pickIndex(accounts.length)]!;
    const vm = pickIndex(FLEET_SIZE.vmCount);
    void fleet.run({ ...rows, vm, prefillMs: PREFILL_MS, decodeMs: DECODE_MS });
  }, 1_000 / OFFERED_PER_SECOND);
};

const simulate = async (policies: FleetPolicies): Promise<SimulationResult> => {
  let run: SimulationResult | undefined;
  await runWithFakeClock(RESTART_AT_MS + WINDOW_MS + 100, () => {
    const fleet = new SimulatedEntryFleet(FLEET_SIZE, policies);
    const [engine] = fleet.engines;
    const countCompleted = () => fleet.engines.reduce((sum, each) => sum + each.completedCount, 0);
    let completedBefore = 0;
    startLoad(fleet);
    setTimeout(() => {
      completedBefore = countCompleted();
      engine!.restart();
    }, RESTART_AT_MS);
    setTimeout(() => {
      const remainingCapacity =
        (ENGINE_CAPACITY_PER_SECOND * (FLEET_SIZE.engineCount - 1) * WINDOW_MS) / 1_000;
      const { peakColdInFlight, crashes } = engine!;
      run = {
        peakColdInFlight,
        crashes,
        throughputShare: (countCompleted() - completedBefore) / remainingCapacity,
      };
    }, RESTART_AT_MS + WINDOW_MS);
  });
  if (!run) throw new Error('the simulation did not end');
  return run;
};

const run = async (): Promise<readonly Measurement[]> => {
  const [measured, baseline] = [
    await simulate(createFairPolicies()),
    await simulate(naivePolicies),
  ];
  return [
    {
      name: 'coldRestart: peak requests in flight at the cold engine',
      baseline: baseline.peakColdInFlight,
      measured: measured.peakColdInFlight,
      bound: COLD_SLOTS,
    },
    {
      name: 'coldRestart: crashes after the restart',
      baseline: baseline.crashes,
      measured: measured.crashes,
    },
    {
      name: 'coldRestart: throughput / capacity of the remaining engines',
      baseline: baseline.throughputShare,
      measured: measured.throughputShare,
      bound: 1,
      isLowerBound: true,
    },
  ];
};

const benchmark: Benchmark = { name: 'cold restart under load', run };

export default benchmark;
