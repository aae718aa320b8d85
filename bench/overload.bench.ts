import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { BudgetedRetryPolicy, FairSharePolicy, createRandomGenerator } from '@goldcrestscale/core';
import type { Benchmark, Measure } from './measure.js';
import { runPaused } from './overloadClock.js';
import { FifoPolicy } from './overloadFifo.js';
import { EagerRetryPolicy } from './overloadRetries.js';
import { OverloadFleet, createAccount } from './overloadFleet.js';
import type { FleetPolicies, Outcome } from './overloadFleet.js';

const SIZE = { vmCount: 9, engineCount: 8 };
const SLOTS = 64;
const PREFILL_MIN_MS = 200;
const PREFILL_SPREAD_MS = 400;
const DECODE_MS = 1_200;
const CAPACITY_PER_SECOND = (SLOTS * 1_000) / (PREFILL_MIN_MS + PREFILL_SPREAD_MS / 2 + DECODE_MS);
const WARM_UP_MS = 8_000;
const OFFERED_MS = 40_000;
const DRAIN_MS = 8_000;
const DEADLINE_MS = 4_000;
const RESET_SHARE = 0.25;

const fair: FleetPolicies = {
  createAdmission: () => new FairSharePolicy(),
  createRetries: (seed) => new BudgetedRetryPolicy(createRandomGenerator(seed)),
};

const naive: FleetPolicies = {
  createAdmission: () => new FifoPolicy(),
  createRetries: () => new EagerRetryPolicy(),
};

interface Rate {
  readonly account: string;
  readonly perSecond: number;
}

const SMALL: Rate = { account: 'small', perSecond: CAPACITY_PER_SECOND * 0.05 };

/** Twice the capacity: one large account, one of middle size, one small within its share. */
const OVERLOAD: readonly Rate[] = [
  { account: 'large', perSecond: CAPACITY_PER_SECOND * 1.75 },
  { account: 'middle', perSecond: CAPACITY_PER_SECOND * 0.2 },
  SMALL,
];

const startRate = (fleet: OverloadFleet, { account, perSecond }: Rate, seed: number): void => {
  const random = createRandomGenerator(seed);
  const rows = createAccount(account, 1, DEADLINE_MS);
  const endsAtMs = Date.now() + OFFERED_MS;
  const scheduleNext = (): void => {
    // Arrivals are independent of one another.
    const gapMs = (-Math.log(1 - uniformFloat64(random)) * 1_000) / perSecond;
    setTimeout(() => {
      if (Date.now() >= endsAtMs) return;
      const vm = Math.floor(uniformFloat64(random) * SIZE.vmCount);
      const prefillMs = PREFILL_MIN_MS + uniformFloat64(random) * PREFILL_SPREAD_MS;
      void fleet.run({ ...rows, vm, prefillMs, decodeMs: DECODE_MS });
      scheduleNext();
    }, gapMs);
  };
  scheduleNext();
};

interface Run {
  readonly outcomes: readonly Outcome[];
  /** Attempts that reached the engines, over the whole run. */
  readonly received: number;
  /** Requests that were let in, over the whole run. */
  readonly admitted: number;
  readonly completed: number;
}

const simulate = async (
  policies: FleetPolicies,
  rates: readonly Rate[],
  resetShare = 0,
): Promise<Run> => {
  let counted: Run | undefined;
  await runPaused(OFFERED_MS + DRAIN_MS, () => {
    const started = new OverloadFleet(SIZE, policies);
    started.engines.forEach((engine) => engine.setResetShare(resetShare));
    rates.forEach((rate, index) => startRate(started, rate, index + 1));
    const beginsAtMs = Date.now() + WARM_UP_MS;
    const countCompleted = () => started.engines.reduce((sum, one) => sum + one.completed, 0);
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
        const outcomes = started.outcomes.filter((one) => one.arrivedAtMs >= beginsAtMs);
        const received = started.engines.reduce((sum, one) => sum + one.received, 0);
        const admitted = started.outcomes.filter((one) => one.code !== 'overloaded').length;
        counted = { outcomes, received, admitted, completed: completedWhileOffered };
      },
      OFFERED_MS + DRAIN_MS - 10,
    );
  });
  if (!counted) throw new Error('the simulation did not end');
  return counted;
};

const REFUSED_MS = DEADLINE_MS;

const measureP95 = ({ outcomes }: Run, account: string): number => {
  const times = outcomes
    .filter((one) => one.account === account)
    .map((one) => one.firstTokenMs ?? REFUSED_MS)
    .sort((left, right) => left - right);
  return times[Math.floor(times.length * 0.95)] ?? NaN;
};

const computeGoodput = ({ completed }: Run): number =>
  completed / ((CAPACITY_PER_SECOND * (OFFERED_MS - WARM_UP_MS)) / 1_000);

const measureLateness = ({ outcomes }: Run): number =>
  Math.max(
    ...outcomes
      .filter((one) => one.code === 'overloaded')
      .map((one) => one.endedAtMs - one.deadlineAtMs),
  );

const measureRefusalP50 = ({ outcomes }: Run): number => {
  const times = outcomes
    .filter((one) => one.code === 'overloaded')
    .map((one) => one.endedAtMs - one.arrivedAtMs)
    .sort((left, right) => left - right);
  return times[Math.floor(times.length / 2)] ?? NaN;
};

/** Gives the attempts beyond the first, as a share of the requests that were let in. */
const computeRetryShare = ({ received, admitted }: Run): number => received / admitted - 1;

const run = async (): Promise<readonly Measure[]> => {
  const unloaded = await simulate(fair, [SMALL]);
  const ours = await simulate(fair, OVERLOAD);
  const baseline = await simulate(naive, OVERLOAD);
  const faulty = await simulate(fair, OVERLOAD, RESET_SHARE);
  const faultyBaseline = await simulate(naive, OVERLOAD, RESET_SHARE);
  return [
    {
      name: 'overload: small account ttft p95 / unloaded',
      baseline: measureP95(baseline, 'small') / measureP95(unloaded, 'small'),
      ours: measureP95(ours, 'small') / measureP95(unloaded, 'small'),
      bound: 1.2,
    },
    { name: 'overload: small account ttft p95 (ms)', ours: measureP95(ours, 'small') },
    { name: 'overload: large account ttft p95 (ms)', ours: measureP95(ours, 'large') },
    {
      name: 'overload: goodput / capacity',
      baseline: computeGoodput(baseline),
      ours: computeGoodput(ours),
      bound: 0.9,
      atLeast: true,
    },
    {
      name: 'overload: latest refusal after its deadline (ms)',
      baseline: measureLateness(baseline),
      ours: measureLateness(ours),
      bound: 50,
    },
    {
      name: 'overload: retries / traffic, engines resetting a quarter',
      baseline: computeRetryShare(faultyBaseline),
      ours: computeRetryShare(faulty),
      bound: 0.1,
    },
    { name: 'overload: refusal after arrival p50 (ms)', ours: measureRefusalP50(ours) },
  ];
};

const benchmark: Benchmark = { name: 'overload at twice the capacity', run };

export default benchmark;
