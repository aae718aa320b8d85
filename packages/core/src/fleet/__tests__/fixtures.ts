import { toId, toWeightNumber } from '../../ids.js';
import type {
  AvailabilityZoneId,
  BootId,
  ModelId,
  ServiceName,
  UpstreamId,
  VmId,
} from '../../ids.js';
import type { EntryHeartbeat, RegisteredUpstream } from '../index.js';
import { PeerLoads, TrackedUpstream } from '../index.js';

export const MODEL = toId<ModelId>('model');

/** Makes a warm upstream that has loaded version 1 of the weights. */
export const makeUpstream = (
  name: string,
  fields: Partial<RegisteredUpstream> = {},
): RegisteredUpstream => ({
  upstreamId: toId<UpstreamId>(name),
  service: toId<ServiceName>('engines'),
  address: '127.0.0.1:1',
  availabilityZone: toId<AvailabilityZoneId>('z1'),
  slots: 64,
  draining: false,
  coldRemainingMs: 0,
  weights: [{ model: MODEL, weightNumber: toWeightNumber(1) }],
  heartbeat: 1,
  startedAtMs: 1_000,
  ...fields,
});

export const makeTracked = (
  name: string,
  fields: Partial<RegisteredUpstream> = {},
  peerLoads = new PeerLoads(1_000),
): TrackedUpstream => new TrackedUpstream(makeUpstream(name, fields), peerLoads);

export const makeHeartbeat = (
  name: string,
  fields: Partial<EntryHeartbeat> = {},
): EntryHeartbeat => ({
  vmId: toId<VmId>(name),
  bootId: toId<BootId>('boot'),
  availabilityZone: toId<AvailabilityZoneId>('z1'),
  address: `${name}:1`,
  meshAddress: `${name}:2`,
  meshKey: 'key',
  leaving: false,
  size: 1,
  ...fields,
});
