import type { ModelId, UpstreamId, WeightVersion } from '../ids.js';
import type { HeldLease, ClockReading } from '../lease/index.js';

/** Status reported by an engine. */
export interface EngineReport {
  readonly upstreamId: UpstreamId;
  readonly model: ModelId | undefined;
  readonly weightVersion: WeightVersion | undefined;
  readonly isLoading: boolean;
  /** Earliest time at which the report may have been taken. */
  readonly takenAt: ClockReading;
}

/** Weights that an engine should hold. */
export interface DesiredWeights {
  readonly upstreamId: UpstreamId;
  readonly model: ModelId;
  readonly version: WeightVersion;
}

/** An order to load weights. */
export interface LoadOrder extends DesiredWeights {
  /** Fencing token; engines that check it reject orders with a smaller token. */
  readonly fencingToken: number;
  readonly decidedAt: ClockReading;
}

/** Input of a plan. */
export interface OrderInput {
  /** The lease that permits issuing orders, if this VM currently holds it. */
  readonly lease: HeldLease | undefined;
  readonly desired: readonly DesiredWeights[];
  /** Newest report of every engine of the fleet. */
  readonly engines: readonly EngineReport[];
}

/** Plans which orders to issue. */
export abstract class OrderPlanner {
  /** Returns the orders to send now; check each with `canSend` immediately before sending. */
  abstract plan(input: OrderInput): readonly LoadOrder[];

  /** Whether an order may still be sent. Call it after the last await before sending. */
  abstract canSend(order: LoadOrder, lease: HeldLease | undefined): boolean;
}
