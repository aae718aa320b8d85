import {
  BlockDirectory,
  CappedEjection,
  EntryRoster,
  PeerLoads,
  SentParts,
  UpstreamRegistry,
  createGenerator,
} from '@goldcrestscale/core';
import { GOSSIP_MAX_AGE_MS } from '../constants.js';

/** What the gateway knows of the fleet; controllers write it, filters read it. */
export const createKnowledge = () => {
  const random = createGenerator();
  const peerLoads = new PeerLoads(GOSSIP_MAX_AGE_MS);
  return {
    random,
    peerLoads,
    roster: new EntryRoster(),
    registry: new UpstreamRegistry(peerLoads),
    blocks: new BlockDirectory(),
    sent: new SentParts(),
    ejection: new CappedEjection(random),
  };
};

export type Knowledge = ReturnType<typeof createKnowledge>;
