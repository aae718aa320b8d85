/** Simulated VMs that share the places of one service, on the paused clock. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { vi } from 'vitest';
import { createRandomGenerator } from '../../random.js';
import { toId } from '../../ids.js';
import type { ServiceName, VmId } from '../../ids.js';
import { PeerWaiting } from '../peerWaiting.js';
import { PlaceAdmission } from '../placeAdmission.js';

/** Resolution of the simulation. */
const STEP_MS = 5;

/** Part of the demand that comes before the burst. */
const CALM_FRACTION = 0.4;

export const service = toId<ServiceName>('service');

export interface FleetSetup {
  readonly vmCount: number;
  readonly total: number;
  /** Demand over the capacity. */
  readonly load: number;
  /** Time for which only a part of it comes, in milliseconds. */
  readonly calmMs: number;
  readonly runMs: number;
  readonly reportDelayMs: number;
  /** Fills all room that it sees at once, as each VM did before. */
  readonly isNaive?: boolean;
  /** Whether the VM with this index tells others anything and hears them. */
  readonly isHeard?: (index: number) => boolean;
}

/** Runs the fleet and returns the highest use and the mean idle places while anyone waits. */
export const runFleet = async (setup: FleetSetup, durationMs: number) => {
  const { vmCount, total, load, runMs, reportDelayMs, isNaive, isHeard = () => true } = setup;
  const random = createRandomGenerator(7);
  const drawRandom = (): number => uniformFloat64(random);
  const running = new Int32Array(vmCount);
  const told = new Int32Array(vmCount);
  let toldSum = 0;
  const peers = Array.from({ length: vmCount }, () => new PeerWaiting(3_000));
  const admissions = peers.map(
    (one) => new PlaceAdmission({ fleet: { vmCount, reportDelayMs, drawRandom }, peers: one }),
  );
  const sum = (counts: Int32Array): number => counts.reduce((all, one) => all + one, 0);
  const seenFree = (index: number): number =>
    total - running[index]! - (isHeard(index) ? toldSum - told[index]! : 0);
  const startedAtMs = performance.now();
  /** VMs whose requests end in a step. */
  const ends: number[][] = [];
  const counts = { started: 0, refused: 0, peak: 0, idle: 0, samples: 0 };
  const start = (index: number): void => {
    running[index]! += 1;
    counts.started += 1;
    const endStep = Math.ceil(
      (performance.now() - startedAtMs + runMs * (0.5 + drawRandom())) / STEP_MS,
    );
    ends[endStep] = [...(ends[endStep] ?? []), index];
  };
  const arrive = async (index: number): Promise<void> => {
    if (isNaive) {
      if (seenFree(index) > 0) start(index);
      return;
    }
    const refusal = await admissions[index]!.request(
      {
        service,
        priority: 0,
        accountId: undefined,
        accountWeight: 1,
        spentMs: 0,
        places: 1,
        deadlineAtMs: performance.now() + 12_000,
        reachKey: '',
        objectiveMs: 1_000,
        runMs,
        readRoom: () => ({ total, free: Math.max(0, seenFree(index)) }),
      },
      new AbortController().signal,
    );
    if (refusal) counts.refused += 1;
    else start(index);
  };
  const report = (): void => {
    const rows = admissions.map((one, index) => (isHeard(index) ? one.listWaiting() : []));
    const all = rows.flat().reduce((places, row) => places + row.places, 0);
    const used = running.map((one, index) => (isHeard(index) ? one : 0));
    // Half of the delay passes until the next report, the other half on the way.
    setTimeout(() => {
      told.set(used);
      toldSum = sum(used);
      peers.forEach((one, index) => {
        const places = all - rows[index]!.reduce((own, row) => own + row.places, 0);
        if (isHeard(index)) {
          one.recordReport(toId<VmId>('all'), places > 0 ? [{ service, priority: 0, places }] : []);
        }
      });
    }, reportDelayMs / 2);
  };
  const arrivalsPerStep = (load * total * STEP_MS) / runMs;
  let due = 0;
  for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
    if (nowMs % (reportDelayMs / 2) < STEP_MS) report();
    due += nowMs < setup.calmMs ? arrivalsPerStep * CALM_FRACTION : arrivalsPerStep;
    for (; due >= 1; due -= 1) void arrive(Math.floor(drawRandom() * vmCount));
    ends[nowMs / STEP_MS]?.forEach((index) => {
      running[index]! -= 1;
      admissions[index]!.recordEnd({ service, places: 1 });
    });
    vi.advanceTimersByTime(STEP_MS);
    // Lets those that got places start.
    for (let turn = 0; turn < 4; turn += 1) await Promise.resolve();
    const used = sum(running);
    counts.peak = Math.max(counts.peak, used);
    const isWaiting =
      isNaive === true || admissions.some((one) => (one.countWaiting().get(service) ?? 0) > 0);
    if (isWaiting && nowMs > setup.calmMs + 4 * reportDelayMs) {
      counts.idle += Math.max(0, total - used) / total;
      counts.samples += 1;
    }
  }
  return { ...counts, idle: counts.idle / Math.max(1, counts.samples) };
};
