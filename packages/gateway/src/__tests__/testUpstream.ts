import { toId } from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  RegisteredUpstream,
  ServiceName,
  UpstreamId,
} from '@goldcrestscale/core';

/** Builds the registry entry of a warm upstream. */
export const buildTestUpstream = (
  upstreamId: string,
  changes: Partial<RegisteredUpstream> = {},
): RegisteredUpstream => ({
  upstreamId: toId<UpstreamId>(upstreamId),
  service: toId<ServiceName>('service'),
  address: '127.0.0.1:1',
  availabilityZone: toId<AvailabilityZoneId>('z1'),
  slots: 8,
  draining: false,
  coldRemainingMs: 0,
  weights: [],
  heartbeat: 1,
  startedAtMs: 1,
  ...changes,
});
