import { Router } from '@goldcrestscale/core';
import type { Route, RouteRequest, UpstreamView } from '@goldcrestscale/core';
import { createRoute, findLeastLoaded, selectEligible } from './baselineRouting.js';

/** Selects the upstream with the fewest requests in flight, including its own dispatches. */
export class LeastLoadRouter extends Router {
  private rotation = 0;

  override choose(request: RouteRequest, upstreams: readonly UpstreamView[]): Route | undefined {
    const eligibleViews = selectEligible(request, upstreams);
    this.rotation += 1;
    const start = eligibleViews.length > 0 ? this.rotation % eligibleViews.length : 0;
    const best = findLeastLoaded([...eligibleViews.slice(start), ...eligibleViews.slice(0, start)]);
    return best && createRoute(best);
  }
}
