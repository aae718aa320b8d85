import { Router } from './router.js';
import type { Route, RouteRequest, UpstreamView } from './router.js';

const computeUtilization = (view: UpstreamView): number =>
  (view.running + view.waiting + view.dispatchedSince) / view.maxConcurrent;

const canServe = (view: UpstreamView, request: RouteRequest): boolean =>
  view.eligible &&
  !request.excludedUpstreams.has(view.upstreamId) &&
  (view.role === 'service' || view.weightVersion === request.weightVersion);

/** Chooses the upstream with the least load relative to its capacity. */
export class LeastLoadRouter extends Router {
  override choose(request: RouteRequest, upstreams: readonly UpstreamView[]): Route | undefined {
    const candidates = upstreams.filter((view) => canServe(view, request));
    const preferred = candidates.filter((view) => !request.avoidedZones.has(view.availabilityZone));
    const [best] = (preferred.length > 0 ? preferred : candidates).toSorted(
      (left, right) => computeUtilization(left) - computeUtilization(right),
    );
    if (!best) return undefined;
    return {
      upstreamId: best.upstreamId,
      imports: [],
      estimatedFirstTokenMs: 0,
      expectedCachedTokens: 0,
    };
  }
}
