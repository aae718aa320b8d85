import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { ModelId, UpstreamId, WeightVersion } from '../../ids.js';
import { readClocks } from '../../lease/index.js';
import type { HeldLease } from '../../lease/index.js';
import { LeasedOrderPlanner, OrderPlanner } from '../index.js';
import type { DesiredWeights, EngineReport, LoadOrder, OrderInput } from '../index.js';

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

const model = toId<ModelId>('m');
const LOAD_DURATION_MS = 1_500;
const ORDER_DELAY_MS = 400;
const REPORT_LAG_MS = 1_000;

/** An engine that follows every load order and ignores fencing tokens. */
class FakeEngine {
  version = toId<WeightVersion>('v1');

  loadingUntilMs = 0;

  constructor(readonly upstreamId: UpstreamId) {}

  get isLoading(): boolean {
    return performance.now() < this.loadingUntilMs;
  }

  load(version: WeightVersion): void {
    this.loadingUntilMs = performance.now() + LOAD_DURATION_MS;
    this.version = version;
  }

  report(): EngineReport {
    const { upstreamId, version, isLoading } = this;
    return { upstreamId, model, weightVersion: version, isLoading, takenAt: readClocks() };
  }
}

/** Faulty planner that uses only the newest reports and keeps no record of its own orders. */
class StatelessPlanner extends OrderPlanner {
  private turn = 0;

  override plan({ desired, engines, lease }: OrderInput): readonly LoadOrder[] {
    const loading = engines.filter((engine) => engine.isLoading).length;
    const open = desired.filter((one) =>
      engines.some(
        (engine) =>
          engine.upstreamId === one.upstreamId &&
          !engine.isLoading &&
          engine.weightVersion !== one.version,
      ),
    );
    this.turn += 1;
    const start = open.length > 0 ? this.turn % open.length : 0;
    return [...open.slice(start), ...open.slice(0, start)]
      .slice(0, Math.max(0, 2 - loading))
      .map((one) => ({ ...one, fencingToken: lease?.epoch ?? 0, decidedAt: readClocks() }));
  }

  override canSend(order: LoadOrder): boolean {
    return order.fencingToken >= 0;
  }
}

/** Simulates two planners, the second of which takes over the lease while the first is paused. */
const simulateFleet = async (createPlanner: () => OrderPlanner, takeoverAtMs: number) => {
  const engines = Array.from({ length: 8 }, (_, i) => new FakeEngine(toId<UpstreamId>(`e${i}`)));
  const desired: DesiredWeights[] = engines.map(({ upstreamId }) => ({
    upstreamId,
    model,
    version: toId<WeightVersion>('v2'),
  }));
  const known = { reports: engines.map((engine) => engine.report()) };
  const first: HeldLease = { epoch: 1, heldSince: readClocks() };
  let second: HeldLease | undefined;
  const findHeldLease = (plannerIndex: number): HeldLease | undefined => {
    if (plannerIndex === 1) return second;
    return second ? undefined : first;
  };
  let maxConcurrentLoads = 0;
  let sent = 0;
  const sendOrder = async (planner: OrderPlanner, plannerIndex: number, order: LoadOrder) => {
    const isPausedNow = plannerIndex === 0 && performance.now() > takeoverAtMs - 1_000;
    await vi.waitFor(() => expect(isPausedNow && !second).toBe(false), {
      interval: 100,
      timeout: 60_000,
    });
    if (!planner.canSend(order, findHeldLease(plannerIndex))) return;
    sent += 1;
    setTimeout(
      () => engines.find((engine) => engine.upstreamId === order.upstreamId)?.load(order.version),
      ORDER_DELAY_MS,
    );
  };
  const planners = [createPlanner(), createPlanner()];
  for (let nowMs = 0; nowMs < 120_000; nowMs += 250) {
    if (nowMs >= takeoverAtMs) second ??= { epoch: 2, heldSince: readClocks() };
    planners.forEach((planner, plannerIndex) =>
      planner
        .plan({ lease: findHeldLease(plannerIndex), desired, engines: known.reports })
        .forEach((order) => {
          sendOrder(planner, plannerIndex, order).catch(() => undefined);
        }),
    );
    const taken = engines.map((engine) => engine.report());
    setTimeout(() => {
      known.reports = taken;
    }, REPORT_LAG_MS);
    await vi.advanceTimersByTimeAsync(250);
    maxConcurrentLoads = Math.max(
      maxConcurrentLoads,
      engines.filter((engine) => engine.isLoading).length,
    );
  }
  const loaded = engines.filter((engine) => engine.version === 'v2').length;
  return { maxConcurrentLoads, loaded, sent };
};

test.each([9_000, 10_500, 13_000, 17_000, 90_000])(
  'never more than two concurrent loads with a takeover at %i ms',
  async (takeoverAtMs) => {
    const result = await simulateFleet(() => new LeasedOrderPlanner(60), takeoverAtMs);
    expect(result.maxConcurrentLoads).toBeLessThanOrEqual(2);
    expect(result.loaded).toBe(8);
  },
);

test('the check detects a planner that does not track its orders', async () => {
  expect(
    (await simulateFleet(() => new StatelessPlanner(), 10_000)).maxConcurrentLoads,
  ).toBeGreaterThan(2);
});

test('loads stay within the rate limit of the weight store', async () => {
  const { sent } = await simulateFleet(() => new LeasedOrderPlanner(2), 500_000);
  expect(sent).toBeLessThanOrEqual(4);
});
