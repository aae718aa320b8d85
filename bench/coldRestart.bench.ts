import { BudgetedRetryPolicy, FairSharePolicy, createRandomGenerator } from '@goldcrestscale/core';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { Benchmark, Measure } from './measure.js';
import { runPaused } from './overloadClock.js';
import { FifoPolicy } from './overloadFifo.js';
import { OverloadFleet, createAccount } from './overloadFleet.js';
import type { FleetPolicies } from './overloadFleet.js';
import { createFleetSlots } from './overloadSlots.js';
import { EagerRetryPolicy } from './overloadRetries.js';

const SIZE = { vmCount: 9, engineCount: 8 };
const ENGINE_SLOTS = 8;
const COLD_SLOTS = 2;
const PREFILL_MS = 400;
const DECODE_MS = 1_200;
const ENGINE_PER_SECOND = (ENGINE_SLOTS * 1_000) / (PREFILL_MS + DECODE_MS);
const OFFERED_PER_SECOND = ENGINE_PER_SECOND * SIZE.engineCount * 1.2;
const RESTART_AT_MS = 60_000;
const WINDOW_MS = 20_000;
const DEADLINE_MS = 4_000;

const createFair = (): FleetPolicies => ({
  createAdmission: () => new FairSharePolicy(),
  createRetries: (seed) => new BudgetedRetryPolicy(createRandomGenerator(seed)),
  createSlots: createFleetSlots(),
});

const naive: FleetPolicies = {
  createAdmission: () => new FifoPolicy(),
  createRetries: () => new EagerRetryPolicy(),
};

interface Run {
  readonly coldPeak: number;
  readonly falls: number;
  /** Requests completed in the window after the restart, as a share of what the rest bears. */
  readonly service: number;
}

const startLoad = (fleet: OverloadFleet): void => {
  const random = createRandomGenerator(7);
  const accounts = ['a', 'b', 'c'].map((id) => createAccount(id, 1, DEADLINE_MS));
  const pickIndex = (count: number): number => Math.floor(uniformFloat64(random) * count);
  setInterval(() => {
    const rows = accounts[pickIndex(accounts.length)]!;
    const vm = pickIndex(SIZE.vmCount);
    void fleet.run({ ...rows, vm, prefillMs: PREFILL_MS, decodeMs: DECODE_MS });
  }, 1_000 / OFFERED_PER_SECOND);
};

const simulate = async (policies: FleetPolicies): Promise<Run> => {
  let run: Run | undefined;
  await runPaused(RESTART_AT_MS + WINDOW_MS + 100, () => {
    const fleet = new OverloadFleet(SIZE, policies);
    const [engine] = fleet.engines;
    const countCompleted = () => fleet.engines.reduce((sum, one) => sum + one.completed, 0);
    let before = 0;
    startLoad(fleet);
    setTimeout(() => {
      before = countCompleted();
      engine!.restart();
    }, RESTART_AT_MS);
    setTimeout(() => {
      const rest = (ENGINE_PER_SECOND * (SIZE.engineCount - 1) * WINDOW_MS) / 1_000;
      const { coldPeak, falls } = engine!;
      run = { coldPeak, falls, service: (countCompleted() - before) / rest };
    }, RESTART_AT_MS + WINDOW_MS);
  });
  if (!run) throw new Error('the simulation did not end');
  return run;
};

const run = async (): Promise<readonly Measure[]> => {
  const [ours, baseline] = [await simulate(createFair()), await simulate(naive)];
  return [
    {
      name: 'coldRestart: most in flight at the cold engine',
      baseline: baseline.coldPeak,
      ours: ours.coldPeak,
      bound: COLD_SLOTS,
    },
    { name: 'coldRestart: falls after the restart', baseline: baseline.falls, ours: ours.falls },
    {
      name: "coldRestart: service / the rest's capacity",
      baseline: baseline.service,
      ours: ours.service,
      bound: 1,
      atLeast: true,
    },
  ];
};

const benchmark: Benchmark = { name: 'cold restart in the middle of load', run };

export default benchmark;
