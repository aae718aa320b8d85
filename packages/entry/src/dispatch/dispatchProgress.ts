import { SendCounts } from '@goldcrestscale/core';
import type { AvailabilityZoneId, Route, UpstreamId, UpstreamView } from '@goldcrestscale/core';

import { RelayedEvents } from './relayedEvents.js';

/** Upstream selected for an attempt, with the router's result. */
export interface UpstreamSelection {
  readonly upstream: UpstreamView;
  readonly route: Route;
}

/** Dispatch state of one exchange across its attempts. */
export interface DispatchProgress {
  readonly excludedUpstreams: Set<UpstreamId>;
  readonly avoidedZones: Set<AvailabilityZoneId>;
  /** Stream events relayed to the caller so far. */
  readonly relayedEvents: RelayedEvents;
  readonly sends: SendCounts;
}

/** Creates the dispatch state of a new exchange. */
export const createDispatchProgress = (): DispatchProgress => ({
  excludedUpstreams: new Set(),
  avoidedZones: new Set(),
  relayedEvents: new RelayedEvents(),
  sends: new SendCounts(),
});

/** Excludes an upstream from further attempts, which also avoid its zone if possible. */
export const addExclusion = (progress: DispatchProgress, { upstream }: UpstreamSelection): void => {
  progress.excludedUpstreams.add(upstream.upstreamId);
  progress.avoidedZones.add(upstream.availabilityZone);
};
