import { SendCounts } from '@goldcrestscale/core';
import type { AvailabilityZoneId, Route, UpstreamId, UpstreamView } from '@goldcrestscale/core';

/** Upstream selected for an attempt, with the router's result. */
export interface UpstreamSelection {
  readonly upstream: UpstreamView;
  readonly route: Route;
}

/** Dispatch state of one exchange across its attempts. */
export interface DispatchProgress {
  readonly excludedUpstreams: Set<UpstreamId>;
  readonly avoidedZones: Set<AvailabilityZoneId>;
  /** Payloads of the stream events relayed to the caller so far. */
  readonly relayedEvents: string[];
  readonly sends: SendCounts;
}

/** Creates the dispatch state of a new exchange. */
export const createDispatchProgress = (): DispatchProgress => ({
  excludedUpstreams: new Set(),
  avoidedZones: new Set(),
  relayedEvents: [],
  sends: new SendCounts(),
});

/** Excludes an upstream from further attempts, which also avoid its zone if possible. */
export const addExclusion = (progress: DispatchProgress, { upstream }: UpstreamSelection): void => {
  progress.excludedUpstreams.add(upstream.upstreamId);
  progress.avoidedZones.add(upstream.availabilityZone);
};
