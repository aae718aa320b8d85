import { countInFlight } from '@goldcrestscale/core';
import type { PrefixIndex, Route, RouteRequest, UpstreamView } from '@goldcrestscale/core';
import { LeastLoadRouter } from './leastLoadRouter.js';
import { createRoute, findLeastLoaded, selectEligible } from './baselineRouting.js';

/** Minimum share of a prompt's blocks that a holder must have to be preferred. */
const MIN_AFFINITY_SHARE = 0.5;

/** Maximum difference in requests in flight to the least loaded upstream. */
const MAX_IMBALANCE = 4;

/** Selects the upstream that holds the most of a prompt unless it is much busier than others. */
export class PrefixAffinityRouter extends LeastLoadRouter {
  constructor(private readonly index: PrefixIndex) {
    super();
  }

  override choose(request: RouteRequest, upstreams: readonly UpstreamView[]): Route | undefined {
    const eligibleViews = selectEligible(request, upstreams);
    const least = findLeastLoaded(eligibleViews);
    if (!least) return undefined;
    const views = new Map(eligibleViews.map((view) => [view.upstreamId, view]));
    const holder = this.index
      .findHolders(request.blocks)
      .filter(({ leadingCount: leading }) => leading >= request.blocks.length * MIN_AFFINITY_SHARE)
      .sort((left, right) => right.leadingCount - left.leadingCount)
      .map(({ upstreamId }) => views.get(upstreamId))
      .find((view) => view !== undefined);
    const isHolderAvailable =
      holder && countInFlight(holder) <= countInFlight(least) + MAX_IMBALANCE;
    return isHolderAvailable ? createRoute(holder) : super.choose(request, upstreams);
  }
}
