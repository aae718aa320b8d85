import {
  AnnouncedRates,
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
import type { AvailabilityZoneId, QuarantineChange, RateChange, VmId } from '@goldcrestscale/core';
import { PEER_LOAD_TTL_MS } from '../constants.js';

/** Callbacks for changes that are logged. */
export interface FleetStateCallbacks {
  readonly onQuarantineChange?: (change: QuarantineChange) => void;
  readonly onRateChange?: (change: RateChange) => void;
}

/** Creates the gateway's view of the fleet, which controllers update and filters read. */
export const createFleetState = (
  self: VmId,
  zone: AvailabilityZoneId,
  { onQuarantineChange, onRateChange }: FleetStateCallbacks = {},
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
    announcedRates: new AnnouncedRates(onRateChange),
    quarantine: new PartQuarantine(onQuarantineChange),
    ejection: new CappedEjectionPolicy(random),
  };
};

export type FleetState = ReturnType<typeof createFleetState>;
