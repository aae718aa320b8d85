import {
  BlockDirectory,
  CappedEjectionPolicy,
  EntryRoster,
  PartQuarantine,
  PeerLoads,
  SentParts,
  UpstreamRegistry,
  ZoneRelays,
  createRandomGenerator,
} from '@goldcrestscale/core';
import type { AvailabilityZoneId, QuarantineChange, VmId } from '@goldcrestscale/core';
import { PEER_LOAD_TTL_MS } from '../constants.js';

/** Creates the gateway's view of the fleet, which controllers update and filters read. */
export const createFleetState = (
  self: VmId,
  zone: AvailabilityZoneId,
  onQuarantineChange?: (change: QuarantineChange) => void,
) => {
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
    quarantine: new PartQuarantine(onQuarantineChange),
    ejection: new CappedEjectionPolicy(random),
  };
};

export type FleetState = ReturnType<typeof createFleetState>;
