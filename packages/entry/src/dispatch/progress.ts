import type { AvailabilityZoneId, Route, UpstreamId, UpstreamView } from '@goldcrestscale/core';

/** Upstream chosen for an attempt. */
export interface Choice {
  readonly upstream: UpstreamView;
  readonly route: Route;
}

/** What has happened to one exchange so far. */
export interface Progress {
  readonly excluded: Set<UpstreamId>;
  readonly avoidedZones: Set<AvailabilityZoneId>;
  /** Payloads of the stream events that the caller has received. */
  readonly receivedEvents: string[];
}

/** Creates the progress of a new exchange. */
export const createProgress = (): Progress => ({
  excluded: new Set(),
  avoidedZones: new Set(),
  receivedEvents: [],
});

/** Keeps further attempts away from an upstream and, where they can, from its zone. */
export const addAvoided = (progress: Progress, { upstream }: Choice): void => {
  progress.excluded.add(upstream.upstreamId);
  progress.avoidedZones.add(upstream.availabilityZone);
};
