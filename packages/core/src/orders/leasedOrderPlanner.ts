import type { UpstreamId } from '../ids.js';
import { computeLongestElapsed, computeShortestElapsed, getNow } from '../lease/index.js';
import type { HeldLease, Moment } from '../lease/index.js';
import {
  ENGINE_REPORT_MAX_AGE_MS,
  LOAD_TIMEOUT_MS,
  MAX_CONCURRENT_LOADS,
  ORDER_ARRIVAL_BOUND_MS,
  ORDER_SEND_BOUND_MS,
  ORDER_TAKEOVER_WAIT_MS,
} from './constants.js';
import { LoadBudget } from './loadBudget.js';
import { OrderPlanner } from './orderPlanner.js';
import type { DesiredWeights, EngineReport, LoadOrder, OrderInput } from './orderPlanner.js';

interface GivenOrder {
  readonly desired: DesiredWeights;
  readonly givenAt: Moment;
}

const hasDesired = (engine: EngineReport, desired: DesiredWeights): boolean =>
  !engine.isLoading && engine.model === desired.model && engine.weightVersion === desired.version;

/** A new order giver needs reports that show the loads of the one before. */
const isReadSince = (engine: EngineReport, heldSince: Moment): boolean => {
  const takenAfterMs = engine.takenAt.monotonicMs - heldSince.monotonicMs;
  const isRecent = computeLongestElapsed(engine.takenAt) < ENGINE_REPORT_MAX_AGE_MS;
  return isRecent && takenAfterMs >= ORDER_TAKEOVER_WAIT_MS;
};

/**
 * Gives orders under a lease. An order counts as a running load until the engine, read back after
 * the order has surely arrived, shows that it is not loading; for engines that ignore fencing
 * numbers this and the waiting time of a new order giver stand in for the check.
 */
export class LeasedOrderPlanner extends OrderPlanner {
  private readonly given = new Map<UpstreamId, GivenOrder>();

  private readonly budget: LoadBudget;

  private epoch = -1;

  constructor(loadsPerMinute: number) {
    super();
    this.budget = new LoadBudget(loadsPerMinute, MAX_CONCURRENT_LOADS);
  }

  override plan(input: OrderInput): readonly LoadOrder[] {
    const { held, desired, engines } = input;
    if (!held) return [];
    if (held.epoch !== this.epoch) this.given.clear();
    this.epoch = held.epoch;
    const byId = new Map(engines.map((engine) => [engine.upstreamId, engine]));
    this.dropFinished(byId);
    if (computeShortestElapsed(held.heldSince) < ORDER_TAKEOVER_WAIT_MS) return [];
    if (engines.some((engine) => !isReadSince(engine, held.heldSince))) return [];
    return this.buildOrders(desired, byId, held);
  }

  override canSend(order: LoadOrder, held: HeldLease | undefined): boolean {
    return (
      held?.epoch === order.fencing && computeLongestElapsed(order.decidedAt) < ORDER_SEND_BOUND_MS
    );
  }

  private buildOrders(
    desired: readonly DesiredWeights[],
    engines: ReadonlyMap<UpstreamId, EngineReport>,
    held: HeldLease,
  ): readonly LoadOrder[] {
    const orders: LoadOrder[] = [];
    for (const one of desired) {
      const engine = engines.get(one.upstreamId);
      const isNeeded = engine && !this.given.has(one.upstreamId) && !hasDesired(engine, one);
      const isFree = this.countLoads(engines) < MAX_CONCURRENT_LOADS;
      if (isNeeded && !engine.isLoading && isFree && this.budget.tryTake()) {
        const decidedAt = getNow();
        this.given.set(one.upstreamId, { desired: one, givenAt: decidedAt });
        orders.push({ ...one, fencing: held.epoch, decidedAt });
      }
    }
    return orders;
  }

  private countLoads(engines: ReadonlyMap<UpstreamId, EngineReport>): number {
    const loading = [...engines.values()]
      .filter((engine) => engine.isLoading)
      .map((engine) => engine.upstreamId);
    return new Set([...loading, ...this.given.keys()]).size;
  }

  private dropFinished(engines: ReadonlyMap<UpstreamId, EngineReport>): void {
    this.given.forEach(({ desired, givenAt }, upstreamId) => {
      const engine = engines.get(upstreamId);
      const isArrived =
        engine !== undefined &&
        engine.takenAt.monotonicMs - givenAt.monotonicMs >= ORDER_ARRIVAL_BOUND_MS;
      const isDone = engine !== undefined && hasDesired(engine, desired);
      const isOver = computeShortestElapsed(givenAt) > LOAD_TIMEOUT_MS;
      const isRead = isArrived && !engine.isLoading;
      if (isDone || isRead || (isOver && engine === undefined)) this.given.delete(upstreamId);
    });
  }
}
