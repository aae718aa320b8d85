import {
  BlockDirectory,
  CappedEjectionPolicy,
  EntryRoster,
  PeerLoads,
  SentParts,
  UpstreamRegistry,
  ZoneRelays,
  createRandomGenerator,
} from '@goldcrestscale/core';
import type { AvailabilityZoneId, VmId } from '@goldcrestscale/core';
import { PEER_LOAD_TTL_MS } from '../constants.js';

/** Creates the gateway's view of the fleet, which controllers update and filters read. */
export const createFleetState = (self: VmId, zone: AvailabilityZoneId) => {
  const random = createRandomGenerator();
  const roster = new EntryRoster();
  const peerLoads = new PeerLoads(PEER_LOAD_TTL_MS);
  return {
    random,
    peerLoads,
    roster,
    relays: new ZoneRelays(roster, self, zone),
    registry: new UpstreamRegistry(peerLoads),
    blocks: new BlockDirectory(),
    sentParts: new SentParts(),
    ejection: new CappedEjectionPolicy(random),
  };
};

export type FleetState = ReturnType<typeof createFleetState>;
