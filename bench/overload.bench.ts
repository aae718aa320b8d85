import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { BudgetedRetryPolicy, FairSharePolicy, createRandomGenerator } from '@goldcrestscale/core';
import type { Benchmark, Measurement } from './measurement.js';
import { runWithFakeClock } from './runWithFakeClock.js';
import { FifoAdmissionPolicy } from './fifoAdmissionPolicy.js';
import { UnbudgetedRetryPolicy } from './unbudgetedRetryPolicy.js';
import { SimulatedEntryFleet, createAccount } from './simulatedEntryFleet.js';
import type { FleetPolicies, RequestOutcome } from './simulatedEntryFleet.js';

const FLEET_SIZE = { vmCount: 9, engineCount: 8 };
const TOTAL_SLOTS = 64;
const PREFILL_MIN_MS = 200;
const PREFILL_SPREAD_MS = 400;
const DECODE_MS = 1_200;
const CAPACITY_PER_SECOND =
  (TOTAL_SLOTS * 1_000) / (PREFILL_MIN_MS + PREFILL_SPREAD_MS / 2 + DECODE_MS);
const WARM_UP_MS = 8_000;
const OFFERED_MS = 40_000;
const DRAIN_MS = 8_000;
const DEADLINE_MS = 4_000;
const RESET_SHARE = 0.25;

const fairPolicies: FleetPolicies = {
  createAdmission: () => new FairSharePolicy(),
  createRetries: (seed) => new BudgetedRetryPolicy(createRandomGenerator(seed)),
};

const naivePolicies: FleetPolicies = {
  createAdmission: () => new FifoAdmissionPolicy(),
  createRetries: () => new UnbudgetedRetryPolicy(),
};

interface OfferedLoad {
  readonly account: string;
  readonly perSecond: number;
}

const SMALL: OfferedLoad = { account: 'small', perSecond: CAPACITY_PER_SECOND * 0.05 };

/** Twice the fleet's capacity: a large account, a medium one, and a small one within its fair share. */
const OVERLOAD: readonly OfferedLoad[] = [
  { account: 'large', perSecond: CAPACITY_PER_SECOND * 1.75 },
  { account: 'middle', perSecond: CAPACITY_PER_SECOND * 0.2 },
  SMALL,
];

const startLoad = (
  fleet: SimulatedEntryFleet,
  { account, perSecond }: OfferedLoad,
  seed: number,
): void => {
  const random = createRandomGenerator(seed);
  const rows = createAccount(account, 1, DEADLINE_MS);
  const endsAtMs = performance.now() + OFFERED_MS;
  const scheduleNext = (): void => {
    // Exponential gaps: arrivals form a Poisson process.
    const gapMs = (-Math.log(1 - uniformFloat64(random)) * 1_000) / perSecond;
    setTimeout(() => {
      if (performance.now() >= endsAtMs) return;
      const vm = Math.floor(uniformFloat64(random) * FLEET_SIZE.vmCount);
      const prefillMs = PREFILL_MIN_MS + uniformFloat64(random) * PREFILL_SPREAD_MS;
      void fleet.run({ ...rows, vm, prefillMs, decodeMs: DECODE_MS });
      scheduleNext();
    }, gapMs);
  };
  scheduleNext();
};

interface SimulationResult {
  readonly outcomes: readonly RequestOutcome[];
  /** Attempts that reached the engines over the whole simulation, including retries. */
  readonly attemptCount: number;
  /** Requests that passed admission over the whole simulation. */
  readonly admittedCount: number;
  readonly completedCount: number;
}

const simulate = async (
  policies: FleetPolicies,
  offeredLoads: readonly OfferedLoad[],
  resetShare = 0,
): Promise<SimulationResult> => {
  let result: SimulationResult | undefined;
  await runWithFakeClock(OFFERED_MS + DRAIN_MS, () => {
    const fleet = new SimulatedEntryFleet(FLEET_SIZE, policies);
    fleet.engines.forEach((engine) => engine.setResetShare(resetShare));
    offeredLoads.forEach((offeredLoad, index) => startLoad(fleet, offeredLoad, index + 1));
    const measuredFromMs = performance.now() + WARM_UP_MS;
    const countCompleted = () => fleet.engines.reduce((sum, each) => sum + each.completedCount, 0);
    let completedBefore = 0;
    let completedWhileOffered = 0;
    setTimeout(() => {
      completedBefore = countCompleted();
    }, WARM_UP_MS);
    setTimeout(() => {
      completedWhileOffered = countCompleted() - completedBefore;
    }, OFFERED_MS);
    setTimeout(
      () => {
        const outcomes = fleet.outcomes.filter((each) => each.arrivedAtMs >= measuredFromMs);
        const attemptCount = fleet.engines.reduce((sum, each) => sum + each.receivedCount, 0);
        const admittedCount = fleet.outcomes.filter((each) => each.code !== 'overloaded').length;
        result = { outcomes, attemptCount, admittedCount, completedCount: completedWhileOffered };
      },
      OFFERED_MS + DRAIN_MS - 10,
    );
  });
  if (!result) throw new Error('the simulation did not end');
  return result;
};

const REFUSED_TTFT_MS = DEADLINE_MS;

const computeTtftP95Ms = ({ outcomes }: SimulationResult, account: string): number => {
  const timesMs = outcomes
    .filter((each) => each.account === account)
    .map((each) => each.firstTokenMs ?? REFUSED_TTFT_MS)
    .sort((left, right) => left - right);
  return timesMs[Math.floor(timesMs.length * 0.95)] ?? NaN;
};

const computeGoodput = ({ completedCount }: SimulationResult): number =>
  completedCount / ((CAPACITY_PER_SECOND * (OFFERED_MS - WARM_UP_MS)) / 1_000);

const computeMaxLatenessMs = ({ outcomes }: SimulationResult): number =>
  Math.max(
    ...outcomes
      .filter((each) => each.code === 'overloaded')
      .map((each) => each.endedAtMs - each.deadlineAtMs),
  );

const computeRefusalP50Ms = ({ outcomes }: SimulationResult): number => {
  const timesMs = outcomes
    .filter((each) => each.code === 'overloaded')
    .map((each) => each.endedAtMs - each.arrivedAtMs)
    .sort((left, right) => left - right);
  return timesMs[Math.floor(timesMs.length / 2)] ?? NaN;
};

/** Computes retries as a share of the admitted requests. */
const computeRetryShare = ({ attemptCount, admittedCount }: SimulationResult): number =>
  attemptCount / admittedCount - 1;

const run = async (): Promise<readonly Measurement[]> => {
  const unloaded = await simulate(fairPolicies, [SMALL]);
  const measured = await simulate(fairPolicies, OVERLOAD);
  const baseline = await simulate(naivePolicies, OVERLOAD);
  const withResets = await simulate(fairPolicies, OVERLOAD, RESET_SHARE);
  const baselineWithResets = await simulate(naivePolicies, OVERLOAD, RESET_SHARE);
  return [
    {
      name: 'overload: small account ttft p95 / unloaded',
      baseline: computeTtftP95Ms(baseline, 'small') / computeTtftP95Ms(unloaded, 'small'),
      measured: computeTtftP95Ms(measured, 'small') / computeTtftP95Ms(unloaded, 'small'),
      bound: 1.2,
    },
    {
      name: 'overload: small account ttft p95 (ms)',
      measured: computeTtftP95Ms(measured, 'small'),
    },
    {
      name: 'overload: large account ttft p95 (ms)',
      measured: computeTtftP95Ms(measured, 'large'),
    },
    {
      name: 'overload: goodput / capacity',
      baseline: computeGoodput(baseline),
      measured: computeGoodput(measured),
      bound: 0.9,
      isLowerBound: true,
    },
    {
      name: 'overload: latest refusal after its deadline (ms)',
      baseline: computeMaxLatenessMs(baseline),
      measured: computeMaxLatenessMs(measured),
      bound: 50,
    },
    {
      name: 'overload: retries / traffic, engines resetting a quarter',
      baseline: computeRetryShare(baselineWithResets),
      measured: computeRetryShare(withResets),
      bound: 0.1,
    },
    { name: 'overload: refusal after arrival p50 (ms)', measured: computeRefusalP50Ms(measured) },
  ];
};

const benchmark: Benchmark = { name: 'overload at twice the capacity', run };

export default benchmark;
