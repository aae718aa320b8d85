import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { FleetRateLimits } from '../index.js';
import type { FleetRateLimitsOptions } from '../index.js';
import { RateLimitFleet } from './rateLimitFleet.js';
import type { RateLimitFleetOptions } from './rateLimitFleet.js';

/** Number of seeds in CI; set RATE_LIMIT_SEEDS for a longer run by hand. */
const CI_SEEDS = 1;

/** An upstream takes one and a half times what its rate allows in 4 s, and five requests. */
const WINDOW_MS = 4_000;
const RATE_FACTOR = 1.5;
const EXTRA_REQUESTS = 5;

/** The bound holds from this time after the first announcement. */
const STABLE_MS = 3_000;

/** Fraction of the rate that is used where there are requests for it. */
const MIN_USED_FRACTION = 0.7;

const DURATION_MS = 18_000;

/** A moving rate counts with its largest value within a window, and this long before it. */
const RATE_LAG_MS = 700;

const SECOND_MS = 1_000;

beforeEach(() => {
  vi.useFakeTimers({ now: 0 });
});
afterEach(() => {
  vi.useRealTimers();
});

const listSeeds = (): readonly number[] =>
  Array.from({ length: Number(process.env.RATE_LIMIT_SEEDS ?? CI_SEEDS) }, (_, index) => index + 1);

type Scenario = Omit<RateLimitFleetOptions, 'seed'>;

const runFleet = async (
  scenario: Scenario,
  seed: number,
  disturb: (fleet: RateLimitFleet) => void = () => undefined,
): Promise<RateLimitFleet> => {
  vi.useFakeTimers({ now: 0 });
  const fleet = new RateLimitFleet({ ...scenario, seed });
  fleet.start(DURATION_MS);
  disturb(fleet);
  await vi.advanceTimersByTimeAsync(DURATION_MS);
  return fleet;
};

const findLargestRate = (
  { announceRate }: Scenario,
  upstream: number,
  fromMs: number,
  untilMs: number,
): number => {
  let largest = 0;
  for (let atMs = fromMs; atMs <= untilMs; atMs += 20) {
    largest = Math.max(largest, announceRate(upstream, Math.max(0, atMs)) ?? Infinity);
  }
  return largest;
};

/** Lists the windows in which an upstream got more requests than its rate allows. */
const listExcesses = (fleet: RateLimitFleet, scenario: Scenario, fromMs: number) =>
  Array.from({ length: scenario.upstreams }, (_, upstream) => {
    const times = fleet.listCounted(upstream).filter((atMs) => atMs >= fromMs);
    return times.flatMap((endMs, index) => {
      const startMs = endMs - WINDOW_MS;
      const count = times.slice(0, index + 1).filter((atMs) => atMs > startMs).length;
      if (count <= EXTRA_REQUESTS) return [];
      const rate = findLargestRate(scenario, upstream, startMs - RATE_LAG_MS, endMs);
      const allowed = RATE_FACTOR * (WINDOW_MS / SECOND_MS) * rate + EXTRA_REQUESTS;
      return count > allowed ? [{ upstream, endMs, count, allowed }] : [];
    });
  }).flat();

/** Computes the fraction of the rates that is used, of all upstreams together. */
const computeUsedFraction = (fleet: RateLimitFleet, rate: number): number => {
  const counted = fleet.arrivals.flatMap((_, upstream) =>
    fleet.listCounted(upstream).filter((atMs) => atMs >= STABLE_MS),
  );
  const allowed = (fleet.arrivals.length * rate * (DURATION_MS - STABLE_MS)) / SECOND_MS;
  return counted.length / allowed;
};

const FLEETS = [
  { vms: 1, upstreams: 1 },
  { vms: 1, upstreams: 4 },
  { vms: 9, upstreams: 2 },
  { vms: 9, upstreams: 40 },
  { vms: 86, upstreams: 5 },
  { vms: 195, upstreams: 5 },
] as const;

const isLongRun = process.env.RATE_LIMIT_SEEDS !== undefined;

/** Largest sum of the rates of a fleet that a short run simulates. */
const MAX_SHORT_RUN_RATE = 300;

const RATES = isLongRun ? [0, 0.3, 1, 2.2, 10, 50] : [0, 1, 2.2, 50];

const FAULT_RATES = isLongRun ? [1, 2.2, 20, 50] : [2.2];

// Guards against sending an upstream more requests than its limit, over all VMs together.
test.each(FLEETS)(
  '$vms VMs keep $upstreams upstreams within fixed rates and use these',
  async (fleetOptions) => {
    const rates = RATES.filter(
      (rate) => isLongRun || rate * fleetOptions.upstreams <= MAX_SHORT_RUN_RATE,
    );
    for (const rate of rates) {
      const scenario: Scenario = {
        ...fleetOptions,
        requestsPerSecond: Math.max(20, rate * fleetOptions.upstreams * 2),
        announceRate: () => rate,
      };
      for (const seed of listSeeds()) {
        const fleet = await runFleet(scenario, seed);
        expect({ rate, seed, excesses: listExcesses(fleet, scenario, STABLE_MS) }).toEqual({
          rate,
          seed,
          excesses: [],
        });
        if (rate >= 1) {
          expect(computeUsedFraction(fleet, rate)).toBeGreaterThanOrEqual(MIN_USED_FRACTION);
        }
      }
    }
  },
  600_000,
);

/** A rate from 0 to 50 that changes with each answer, or none for some of the time. */
const makeMovingRate =
  (hasPauses: boolean) =>
  (upstream: number, atMs: number): number | undefined => {
    const phase = (atMs / 900 + upstream * 7) % 13;
    if (hasPauses && phase > 11) return undefined;
    return 25 + 25 * Math.sin(atMs / 1_700 + upstream);
  };

test.each(FLEETS)(
  '$vms VMs keep $upstreams upstreams within rates that move with each answer',
  async (fleetOptions) => {
    const scenario: Scenario = {
      ...fleetOptions,
      requestsPerSecond: fleetOptions.upstreams * 40,
      announceRate: makeMovingRate(false),
    };
    for (const seed of listSeeds()) {
      const fleet = await runFleet(scenario, seed);
      expect(listExcesses(fleet, scenario, STABLE_MS)).toEqual([]);
    }
  },
  600_000,
);

/** Faults of some VMs, one after the other and overlapping. */
const disturbFleet =
  (vms: number) =>
  (fleet: RateLimitFleet): void => {
    for (let step = 0; step < 14; step += 1) {
      const vm = (step * 5) % vms;
      setTimeout(
        () => {
          if (step % 4 === 0) fleet.restart(vm, 700);
          if (step % 4 === 1) fleet.freeze(vm, 2_500);
          if (step % 4 === 2) fleet.cutOff(vm, 3_000);
          if (step % 4 === 3) {
            fleet.list(vm, false);
            setTimeout(() => fleet.list(vm, true), 4_000);
          }
        },
        3_500 + step * 1_000,
      );
    }
  };

test.each(FLEETS.filter(({ vms }) => vms > 1))(
  '$vms VMs that fail, freeze, leave and join keep $upstreams upstreams within their rates',
  async (fleetOptions) => {
    for (const rate of FAULT_RATES) {
      const scenario: Scenario = {
        ...fleetOptions,
        requestsPerSecond: Math.max(20, rate * fleetOptions.upstreams * 2),
        announceRate: () => rate,
      };
      for (const seed of listSeeds()) {
        const fleet = await runFleet(scenario, seed, disturbFleet(fleetOptions.vms));
        expect({ rate, seed, excesses: listExcesses(fleet, scenario, STABLE_MS) }).toEqual({
          rate,
          seed,
          excesses: [],
        });
      }
    }
  },
  600_000,
);

/** Each VM keeps the whole rate by itself. */
class LocalRateLimits extends FleetRateLimits {
  constructor(options: FleetRateLimitsOptions) {
    super({ ...options, listServing: () => [options.self] });
  }
}

test('the check finds VMs that each keep the rate by themselves', async () => {
  const scenario: Scenario = {
    vms: 9,
    upstreams: 2,
    requestsPerSecond: 60,
    announceRate: () => 2.2,
    createLimits: (options) => new LocalRateLimits(options),
  };
  const fleet = await runFleet(scenario, 1);
  expect(listExcesses(fleet, scenario, STABLE_MS).length).toBeGreaterThan(0);
});
