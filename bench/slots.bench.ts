/* eslint-disable import-x/no-relative-packages -- the bench drives the same world as the tests */
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
import type { Benchmark } from './measure.js';

const VM_COUNT = 9;
const SAMPLE_MS = 100;
const REBOOT_MS = 120_000;
const DURATION_MS = 180_000;
const WARM_FROM_MS = 60_000;

/** Prompt affinity sends three quarters of the load to one VM. */
const BUSY_INTERVAL_MS = 85;
const QUIET_INTERVAL_MS = 2_500;

interface SlotFigures {
  readonly idleShare: number;
  readonly overshoot: number;
  readonly rampMs: number;
}

type CreatePolicy = (parts: PolicyDependencies) => SlotPolicy;

const createLeased: CreatePolicy = ({ link, leaseStream, listLive, listEntryVms, signal }) => {
  const fleet = { link, leaseStream, listLive, listEntryVms };
  const controller = new SlotsController({ self: link.self, fleet });
  controller.start(signal).catch(() => undefined);
  return controller.slots;
};

const runWorld = async (createPolicy: CreatePolicy): Promise<SlotFigures> => {
  const clock = FakeTimers.install({ now: 1_700_000_000_000 });
  try {
    const world = new SlotSimulation(VM_COUNT, createPolicy, (index) =>
      index === 0 ? BUSY_INTERVAL_MS : QUIET_INTERVAL_MS,
    );
    const used: number[] = [];
    let rampMs = Infinity;
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += SAMPLE_MS) {
      if (nowMs === REBOOT_MS) world.upstream.reboot();
      await clock.tickAsync(SAMPLE_MS);
      if (nowMs >= WARM_FROM_MS && nowMs < REBOOT_MS) used.push(world.upstream.inFlight);
      const isFull = world.upstream.inFlight >= 0.9 * MAX_CONCURRENT;
      if (nowMs > REBOOT_MS && isFull) rampMs = Math.min(rampMs, nowMs - REBOOT_MS);
    }
    world.close();
    const mean = used.reduce((sum, count) => sum + count, 0) / used.length;
    const { overshoot } = world.upstream;
    return { idleShare: Math.max(0, 1 - mean / MAX_CONCURRENT), overshoot, rampMs };
  } finally {
    clock.uninstall();
  }
};

/** Slots of one upstream over 9 VMs with skewed load above its capacity, and a reboot under load. */
const benchmark: Benchmark = {
  name: 'slots',
  async run() {
    const split = await runWorld(() => new StaticSplitPolicy(VM_COUNT));
    const counting = await runWorld(() => new LocalCountPolicy());
    const leased = await runWorld(createLeased);
    return [
      {
        name: 'slots: overshoot at a cold upstream, against a static split',
        baseline: split.overshoot,
        ours: leased.overshoot,
        bound: 0,
      },
      {
        name: 'slots: overshoot at a cold upstream, against local counting',
        baseline: counting.overshoot,
        ours: leased.overshoot,
        bound: 0,
      },
      {
        name: 'slots: idle share of a warm upstream under overload',
        baseline: split.idleShare,
        ours: leased.idleShare,
        bound: 0.1,
      },
      {
        name: 'slots: reboot to nine tenths in use (ms)',
        baseline: counting.rampMs,
        ours: leased.rampMs,
      },
    ];
  },
};

export default benchmark;
