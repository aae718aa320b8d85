import { countInFlight, hasColdSlot } from '@goldcrestscale/core';
import type { Route, RouteRequest, UpstreamView } from '@goldcrestscale/core';

/** Creates a route without imports. */
export const createRoute = (view: UpstreamView, expectedCachedTokens = 0): Route => ({
  upstreamId: view.upstreamId,
  imports: [],
  estimatedFirstTokenMs: 0,
  expectedCachedTokens,
});

/** Selects the upstreams to which a request may be sent. */
export const selectEligible = (request: RouteRequest, upstreams: readonly UpstreamView[]) =>
  upstreams.filter(
    (view) => view.eligible && !request.excludedUpstreams.has(view.upstreamId) && hasColdSlot(view),
  );

/** Finds the upstream with the fewest requests in flight. */
export const findLeastLoaded = (views: readonly UpstreamView[]): UpstreamView | undefined =>
  views.reduce<UpstreamView | undefined>(
    (best, view) => (!best || countInFlight(view) < countInFlight(best) ? view : best),
    undefined,
  );
