import type { ModelId, UpstreamId, WeightVersion } from '../ids.js';
import type { HeldLease, Moment } from '../lease/index.js';

/** What an engine says of itself. */
export interface EngineReport {
  readonly upstreamId: UpstreamId;
  readonly model: ModelId | undefined;
  readonly weightVersion: WeightVersion | undefined;
  readonly isLoading: boolean;
  /** Time at which the figures were taken, at the earliest. */
  readonly takenAt: Moment;
}

/** Weights that an engine should hold. */
export interface DesiredWeights {
  readonly upstreamId: UpstreamId;
  readonly model: ModelId;
  readonly version: WeightVersion;
}

/** Order to load weights. */
export interface LoadOrder extends DesiredWeights {
  /** Fencing number; engines that check it refuse an order with a smaller one. */
  readonly fencing: number;
  readonly decidedAt: Moment;
}

/** What a plan depends on. */
export interface OrderInput {
  /** Lease of the order giver where this VM holds it at this moment. */
  readonly held: HeldLease | undefined;
  readonly desired: readonly DesiredWeights[];
  /** Newest report of every engine of the fleet. */
  readonly engines: readonly EngineReport[];
}

/** Plans which orders to give now. */
export abstract class OrderPlanner {
  /** Gives the orders to send at once; each is to be checked with `canSend` right before. */
  abstract plan(input: OrderInput): readonly LoadOrder[];

  /** Tells whether an order may still be sent. Call it after the last await before the send. */
  abstract canSend(order: LoadOrder, held: HeldLease | undefined): boolean;
}
