import { Router } from '@goldcrestscale/core';
import type { Route, RouteRequest, UpstreamView } from '@goldcrestscale/core';
import { createRoute, selectEligible } from './baselineRouting.js';

/** Selects the eligible upstreams in turn. */
export class RoundRobinRouter extends Router {
  private rotation = 0;

  override choose(request: RouteRequest, upstreams: readonly UpstreamView[]): Route | undefined {
    const eligibleViews = selectEligible(request, upstreams);
    if (eligibleViews.length === 0) return undefined;
    this.rotation += 1;
    return createRoute(eligibleViews[this.rotation % eligibleViews.length]!);
  }
}
