import { afterEach, expect, test } from 'vitest';
import { CrashQuarantine } from '../crashQuarantine.js';
import { QuarantineFleet } from './quarantineFleet.js';
import type { QuarantineFleetCounts } from './quarantineFleet.js';
import { restoreClock, setClock } from './simulatedClock.js';

/** Number of seeds by fleet size in CI; set QUARANTINE_SEEDS for a longer run by hand. */
const CI_SEEDS = { 1: 4, 8: 4, 100: 1 } as const;

const DURATION_MS = 30_000;

/** Within this time after the fifth crash, all VMs must refuse the part. */
const WINDOW_MS = 3_000;

/** Number of crashes that a fleet may need to find the part, and of prompts it may send later. */
const ALLOWED_CRASHES = 5;
const ALLOWED_LATE_SENDS = 3;

const fleets = [
  { vms: 1, engines: 8, soundPerSecond: 40, poisonPerSecond: 3, isRelayed: false },
  { vms: 8, engines: 8, soundPerSecond: 40, poisonPerSecond: 3, isRelayed: false },
  { vms: 100, engines: 42, soundPerSecond: 80, poisonPerSecond: 6, isRelayed: true },
] as const;

afterEach(() => {
  restoreClock();
});

const countLateSends = ({
  poisonCrashTimesMs,
  poisonSendTimesMs,
}: QuarantineFleetCounts): number => {
  const fifthMs = poisonCrashTimesMs[ALLOWED_CRASHES - 1] ?? Infinity;
  return poisonSendTimesMs.filter((atMs) => atMs > fifthMs + WINDOW_MS).length;
};

const summarize = (counts: QuarantineFleetCounts) => {
  const { poisonCrashTimesMs, poisonSendTimesMs, soundSent, soundRefused } = counts;
  const fifthMs = poisonCrashTimesMs[ALLOWED_CRASHES - 1] ?? Infinity;
  const lastSendMs = poisonSendTimesMs.at(-1) ?? 0;
  return {
    ended: poisonCrashTimesMs.length,
    late: countLateSends(counts),
    lastSendAfterFifthMs: Math.max(0, lastSendMs - fifthMs),
    soundSent,
    refused: soundRefused,
  };
};

/** Runs one fleet by seed; the runtime's clock is that of the fleet. */
const runFleet = (
  seed: number,
  options: Omit<ConstructorParameters<typeof QuarantineFleet>[0], 'seed'>,
  disturb: (fleet: QuarantineFleet) => void,
): QuarantineFleetCounts => {
  setClock(() => 0);
  const fleet = new QuarantineFleet({ ...options, seed });
  setClock(() => fleet.events.nowMs);
  fleet.start(DURATION_MS);
  disturb(fleet);
  fleet.events.advanceTo(DURATION_MS);
  return fleet.counts;
};

const listSeeds = (vms: keyof typeof CI_SEEDS): readonly number[] => {
  const length = Number(process.env.QUARANTINE_SEEDS ?? CI_SEEDS[vms]);
  return Array.from({ length }, (_, index) => index + 1);
};

const cutOffOneVm = (fleet: QuarantineFleet): void => {
  if (fleet.quarantines.length > 1) fleet.events.schedule(2_000, () => fleet.cutOffVm(0, 6_000));
};

// Guards against a fleet that keeps sending prompts with a part that ends engine after engine.
test.each(fleets)('a fleet of $vms VMs finds a crashing part in time', (options) => {
  const found = listSeeds(options.vms).map((seed) => {
    const counts = runFleet(seed, options, cutOffOneVm);
    return { seed, ...summarize(counts) };
  });
  if (process.env.QUARANTINE_SEEDS !== undefined)
    process.stdout.write(`${JSON.stringify(found)}\n`);
  expect(found.filter(({ late }) => late > ALLOWED_LATE_SENDS)).toEqual([]);
  expect(found.filter(({ refused }) => refused > 0)).toEqual([]);
});

// Guards against sound prompts that are refused because engines end for other reasons.
test.each(fleets)('a fleet of $vms VMs blames no part for crash herds', (options) => {
  const refused = listSeeds(options.vms).filter((seed) => {
    const counts = runFleet(seed, { ...options, poisonPerSecond: 0 }, (fleet) => {
      for (let atMs = 1_000; atMs < DURATION_MS; atMs += 700) {
        fleet.events.schedule(atMs, () => fleet.killEngines(0.15, 700));
      }
      fleet.events.schedule(6_000, () => fleet.killEngines(1, 50));
      fleet.events.schedule(13_000, () => fleet.killEngines(0.5, 20));
      fleet.events.schedule(18_000, () => fleet.killInTurn(200));
    });
    return counts.soundRefused > 0;
  });
  if (process.env.QUARANTINE_SEEDS !== undefined) process.stdout.write(`${refused.length} seeds\n`);
  expect(refused).toEqual([]);
});

/** Blames each part that was present at crashes, whatever became of other answers. */
class PresenceQuarantine extends CrashQuarantine {
  override recordSurvival(): void {
    // Nothing clears a part.
  }
}

test('the checks find a fleet that blames by presence, and one that blames nothing', () => {
  const [, fleet] = fleets;
  const byPresence = runFleet(
    1,
    { ...fleet, createQuarantine: () => new PresenceQuarantine() },
    () => undefined,
  );
  expect(byPresence.soundRefused).toBeGreaterThan(0);
  class NoQuarantine extends CrashQuarantine {
    override recordCrash(): void {
      // Nothing is suspected.
    }
  }
  const without = runFleet(
    1,
    { ...fleet, createQuarantine: () => new NoQuarantine() },
    () => undefined,
  );
  expect(countLateSends(without)).toBeGreaterThan(ALLOWED_LATE_SENDS);
});
