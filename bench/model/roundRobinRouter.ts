import { Router } from '@goldcrestscale/core';
import type { Route, RouteRequest, UpstreamView } from '@goldcrestscale/core';
import { createRoute, selectUsable } from './naiveChoice.js';

/** Takes one upstream after another. */
export class RoundRobinRouter extends Router {
  private turn = 0;

  override choose(request: RouteRequest, upstreams: readonly UpstreamView[]): Route | undefined {
    const usable = selectUsable(request, upstreams);
    if (usable.length === 0) return undefined;
    this.turn += 1;
    return createRoute(usable[this.turn % usable.length]!);
  }
}
