import type { UpstreamId } from '../ids.js';
import { computeMaxElapsedMs, computeMinElapsedMs, readClocks } from '../lease/index.js';
import type { HeldLease, ClockReading } from '../lease/index.js';
import {
  ENGINE_REPORT_MAX_AGE_MS,
  ORDERED_LOAD_TIMEOUT_MS,
  MAX_CONCURRENT_LOADS,
  ORDER_DELIVERY_TIMEOUT_MS,
  ORDER_SEND_DEADLINE_MS,
  ORDER_TAKEOVER_WAIT_MS,
} from './constants.js';
import { LoadBudget } from './loadBudget.js';
import { OrderPlanner } from './orderPlanner.js';
import type { DesiredWeights, EngineReport, LoadOrder, OrderInput } from './orderPlanner.js';

interface OutstandingOrder {
  readonly desired: DesiredWeights;
  readonly issuedAt: ClockReading;
}

const hasDesiredWeights = (engine: EngineReport, desired: DesiredWeights): boolean =>
  !engine.isLoading && engine.model === desired.model && engine.weightVersion === desired.version;

/** A new leaseholder needs reports that already include the loads its predecessor ordered. */
const isReportUsable = (engine: EngineReport, heldSince: ClockReading): boolean => {
  const afterTakeoverMs = engine.takenAt.monotonicMs - heldSince.monotonicMs;
  const isRecent = computeMaxElapsedMs(engine.takenAt) < ENGINE_REPORT_MAX_AGE_MS;
  return isRecent && afterTakeoverMs >= ORDER_TAKEOVER_WAIT_MS;
};

/**
 * Issues orders under a lease. An order counts as a running load until a report taken after the
 * order has certainly arrived shows that the engine is not loading. For engines that ignore
 * fencing tokens, this and the takeover wait of a new leaseholder replace the token check.
 */
export class LeasedOrderPlanner extends OrderPlanner {
  private readonly outstanding = new Map<UpstreamId, OutstandingOrder>();

  private readonly loadBudget: LoadBudget;

  private epoch = -1;

  constructor(loadsPerMinute: number) {
    super();
    this.loadBudget = new LoadBudget(loadsPerMinute, MAX_CONCURRENT_LOADS);
  }

  override plan(input: OrderInput): readonly LoadOrder[] {
    const { lease, desired, engines } = input;
    if (!lease) return [];
    if (lease.epoch !== this.epoch) this.outstanding.clear();
    this.epoch = lease.epoch;
    const byId = new Map(engines.map((engine) => [engine.upstreamId, engine]));
    this.dropCompleted(byId);
    if (computeMinElapsedMs(lease.heldSince) < ORDER_TAKEOVER_WAIT_MS) return [];
    if (engines.some((engine) => !isReportUsable(engine, lease.heldSince))) return [];
    return this.buildOrders(desired, byId, lease);
  }

  override canSend(order: LoadOrder, lease: HeldLease | undefined): boolean {
    return (
      lease?.epoch === order.fencingToken &&
      computeMaxElapsedMs(order.decidedAt) < ORDER_SEND_DEADLINE_MS
    );
  }

  private buildOrders(
    desired: readonly DesiredWeights[],
    engines: ReadonlyMap<UpstreamId, EngineReport>,
    lease: HeldLease,
  ): readonly LoadOrder[] {
    const orders: LoadOrder[] = [];
    for (const target of desired) {
      const engine = engines.get(target.upstreamId);
      const isNeeded =
        engine && !this.outstanding.has(target.upstreamId) && !hasDesiredWeights(engine, target);
      const hasCapacity = this.countLoads(engines) < MAX_CONCURRENT_LOADS;
      if (isNeeded && !engine.isLoading && hasCapacity && this.loadBudget.tryTake()) {
        const decidedAt = readClocks();
        this.outstanding.set(target.upstreamId, { desired: target, issuedAt: decidedAt });
        orders.push({ ...target, fencingToken: lease.epoch, decidedAt });
      }
    }
    return orders;
  }

  private countLoads(engines: ReadonlyMap<UpstreamId, EngineReport>): number {
    const loading = [...engines.values()]
      .filter((engine) => engine.isLoading)
      .map((engine) => engine.upstreamId);
    return new Set([...loading, ...this.outstanding.keys()]).size;
  }

  private dropCompleted(engines: ReadonlyMap<UpstreamId, EngineReport>): void {
    this.outstanding.forEach(({ desired, issuedAt }, upstreamId) => {
      const engine = engines.get(upstreamId);
      const hasArrived =
        engine !== undefined &&
        engine.takenAt.monotonicMs - issuedAt.monotonicMs >= ORDER_DELIVERY_TIMEOUT_MS;
      const hasLoaded = engine !== undefined && hasDesiredWeights(engine, desired);
      const isTimedOut = computeMinElapsedMs(issuedAt) > ORDERED_LOAD_TIMEOUT_MS;
      const hasStopped = hasArrived && !engine.isLoading;
      if (hasLoaded || hasStopped || (isTimedOut && engine === undefined))
        this.outstanding.delete(upstreamId);
    });
  }
}
