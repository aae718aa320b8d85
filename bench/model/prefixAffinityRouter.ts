import { countInFlight } from '@goldcrestscale/core';
import type { PrefixIndex, Route, RouteRequest, UpstreamView } from '@goldcrestscale/core';
import { LeastLoadRouter } from './leastLoadRouter.js';
import { createRoute, findLeastLoaded, selectUsable } from './naiveChoice.js';

/** Share of a prompt that a holder must have to count as its place. */
const AFFINITY_SHARE = 0.5;

/** Requests in flight above the least at which affinity gives way. */
const IMBALANCE_LIMIT = 4;

/** Takes the upstream that holds most of the prompt unless it is much busier than the rest. */
export class PrefixAffinityRouter extends LeastLoadRouter {
  constructor(private readonly index: PrefixIndex) {
    super();
  }

  override choose(request: RouteRequest, upstreams: readonly UpstreamView[]): Route | undefined {
    const usable = selectUsable(request, upstreams);
    const least = findLeastLoaded(usable);
    if (!least) return undefined;
    const views = new Map(usable.map((view) => [view.upstreamId, view]));
    const holder = this.index
      .findHolders(request.blocks)
      .filter(({ leading }) => leading >= request.blocks.length * AFFINITY_SHARE)
      .sort((left, right) => right.leading - left.leading)
      .map(({ upstreamId }) => views.get(upstreamId))
      .find((view) => view !== undefined);
    const isFree = holder && countInFlight(holder) <= countInFlight(least) + IMBALANCE_LIMIT;
    return isFree ? createRoute(holder) : super.choose(request, upstreams);
  }
}
