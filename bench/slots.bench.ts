/* eslint-disable import-x/no-relative-packages -- uses the simulation of the entry package's tests */
import FakeTimers from '@sinonjs/fake-timers';
import type { SlotPolicy } from '@goldcrestscale/core';
import {
  LocalCountPolicy,
  StaticSplitPolicy,
} from '../packages/entry/src/controllers/slots/__tests__/naivePolicies.js';
import {
  MAX_CONCURRENT,
  SlotSimulation,
} from '../packages/entry/src/controllers/slots/__tests__/slotSimulation.js';
import type { PolicyDependencies } from '../packages/entry/src/controllers/slots/__tests__/slotSimulation.js';
import { SlotsController } from '../packages/entry/src/controllers/slots/index.js';
import type { Benchmark } from './measurement.js';

const VM_COUNT = 9;
const SAMPLE_MS = 100;
const REBOOT_AT_MS = 120_000;
const DURATION_MS = 180_000;
const MEASURED_FROM_MS = 60_000;

/** Skewed load, as prompt affinity causes: one VM receives three quarters of the requests. */
const BUSY_INTERVAL_MS = 85;
const QUIET_INTERVAL_MS = 2_500;

interface SlotMetrics {
  readonly idleShare: number;
  readonly overshoot: number;
  readonly rampMs: number;
}

type CreatePolicy = (dependencies: PolicyDependencies) => SlotPolicy;

const createLeasedPolicy: CreatePolicy = ({
  link,
  leaseStream,
  listLive,
  listEntryVms,
  signal,
}) => {
  const fleet = { link, leaseStream, listLive, listEntryVms };
  const controller = new SlotsController({ self: link.self, fleet });
  controller.start(signal).catch(() => undefined);
  return controller.slots;
};

const runSimulation = async (createPolicy: CreatePolicy): Promise<SlotMetrics> => {
  const clock = FakeTimers.install({ now: 1_700_000_000_000 });
  try {
    const simulation = new SlotSimulation(VM_COUNT, createPolicy, (index) =>
      index === 0 ? BUSY_INTERVAL_MS : QUIET_INTERVAL_MS,
    );
    const inFlightSamples: number[] = [];
    let rampMs = Infinity;
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += SAMPLE_MS) {
      if (nowMs === REBOOT_AT_MS) simulation.upstream.reboot();
      await clock.tickAsync(SAMPLE_MS);
      if (nowMs >= MEASURED_FROM_MS && nowMs < REBOOT_AT_MS)
        inFlightSamples.push(simulation.upstream.inFlight);
      const isFull = simulation.upstream.inFlight >= 0.9 * MAX_CONCURRENT;
      if (nowMs > REBOOT_AT_MS && isFull) rampMs = Math.min(rampMs, nowMs - REBOOT_AT_MS);
    }
    simulation.close();
    const meanInFlight =
      inFlightSamples.reduce((sum, count) => sum + count, 0) / inFlightSamples.length;
    const { overshoot } = simulation.upstream;
    return { idleShare: Math.max(0, 1 - meanInFlight / MAX_CONCURRENT), overshoot, rampMs };
  } finally {
    clock.uninstall();
  }
};

/** Slot sharing of one upstream by 9 VMs under skewed overload, with a reboot of the upstream. */
const benchmark: Benchmark = {
  name: 'slots',
  async run() {
    const staticSplit = await runSimulation(() => new StaticSplitPolicy(VM_COUNT));
    const localCount = await runSimulation(() => new LocalCountPolicy());
    const leased = await runSimulation(createLeasedPolicy);
    return [
      {
        name: 'slots: overshoot at a cold upstream, against a static split',
        baseline: staticSplit.overshoot,
        measured: leased.overshoot,
        bound: 0,
      },
      {
        name: 'slots: overshoot at a cold upstream, against local counting',
        baseline: localCount.overshoot,
        measured: leased.overshoot,
        bound: 0,
      },
      {
        name: 'slots: idle share of a warm upstream under overload',
        baseline: staticSplit.idleShare,
        measured: leased.idleShare,
        bound: 0.1,
      },
      {
        name: 'slots: time from reboot to 90% utilization (ms)',
        baseline: localCount.rampMs,
        measured: leased.rampMs,
      },
    ];
  },
};

export default benchmark;
