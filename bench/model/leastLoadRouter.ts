import { Router } from '@goldcrestscale/core';
import type { Route, RouteRequest, UpstreamView } from '@goldcrestscale/core';
import { createRoute, findLeastLoaded, selectUsable } from './naiveChoice.js';

/** Takes the upstream with the fewest requests in flight, own dispatches included. */
export class LeastLoadRouter extends Router {
  private turn = 0;

  override choose(request: RouteRequest, upstreams: readonly UpstreamView[]): Route | undefined {
    const usable = selectUsable(request, upstreams);
    this.turn += 1;
    const start = usable.length > 0 ? this.turn % usable.length : 0;
    const best = findLeastLoaded([...usable.slice(start), ...usable.slice(0, start)]);
    return best && createRoute(best);
  }
}
