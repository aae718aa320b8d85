import { ColdStartBudget, computeColdStartShare } from '@goldcrestscale/core';
import type {
  ColdStartShare,
  EntryRoster,
  OperatorState,
  TrackedUpstream,
  VmId,
} from '@goldcrestscale/core';
import type { FleetBounds } from '../config.js';

/** Dependencies of the limits. */
export interface ColdStartLimitsOptions {
  readonly self: VmId;
  readonly bounds: FleetBounds;
  readonly operators: OperatorState;
  readonly roster: EntryRoster;
}

/** This VM's shares of the requests that cold upstreams may get. */
export class ColdStartLimits {
  private readonly budget = new ColdStartBudget();

  constructor(private readonly options: ColdStartLimitsOptions) {}

  /** Whether an upstream is warm, or may get a request now. */
  canTake(upstream: TrackedUpstream): boolean {
    const share = this.computeShare(upstream);
    return !share || this.budget.canTake(upstream.upstreamId, share);
  }

  /** Takes the right to send one request now; false if an upstream is cold and may get none. */
  tryTake(upstream: TrackedUpstream): boolean {
    const share = this.computeShare(upstream);
    return !share || this.budget.tryTake(upstream.upstreamId, share);
  }

  /** @returns undefined if the upstream is not limited */
  private computeShare(upstream: TrackedUpstream): ColdStartShare | undefined {
    if (!upstream.isCold) return undefined;
    const { operators, bounds, roster, self } = this.options;
    const service = operators.view?.findService(upstream.registered.service);
    if (!service || service.coldRequestsPerSecond <= 0) return undefined;
    return computeColdStartShare({
      self,
      sendingVms: roster.findAllSenders(),
      upstreamId: upstream.upstreamId,
      limit: {
        requestsPerSecond: service.coldRequestsPerSecond,
        rateFactor: bounds.coldOverrun,
        extraRequests: bounds.coldSlack,
      },
    });
  }
}
