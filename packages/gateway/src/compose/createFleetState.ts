import {
  AnnouncedRates,
  BegunStreams,
  BlockDirectory,
  CappedEjectionPolicy,
  EntryRoster,
  FleetRateLimits,
  CrashQuarantine,
  PeerLoads,
  PeerWaiting,
  PlaceAdmission,
  RejectionLimits,
  RunTimes,
  SentParts,
  UpstreamPaces,
  UpstreamReach,
  UpstreamRegistry,
  VersionsInUse,
  ZoneRelays,
  computeRendezvousRank,
  createRandomGenerator,
} from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  EjectionChange,
  PaceChange,
  QuarantineChange,
  PermitRequest,
  RateChange,
  RejectionLimitChange,
  ReachChange,
  VmId,
} from '@goldcrestscale/core';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { PEER_LOAD_TTL_MS } from '../constants.js';
import { PlaceFleetView } from '../dispatch/placeFleetView.js';

/** Callbacks of the fleet state. */
export interface FleetStateCallbacks {
  readonly onQuarantineChange?: (change: QuarantineChange) => void;
  readonly onRateChange?: (change: RateChange) => void;
  readonly onRejectionLimitChange?: (change: RejectionLimitChange) => void;
  readonly onEjectionChange?: (change: EjectionChange) => void;
  readonly onPaceChange?: (change: PaceChange) => void;
  readonly onReachChange?: (change: ReachChange) => void;
  /** Whether this VM has read its input without a pause for a duration. */
  readonly hasReadFor?: (durationMs: number) => boolean;
  /** Requests a permit under a rate limit from another VM. */
  readonly sendPermitRequest?: (granter: VmId, request: PermitRequest) => void;
}

/** Creates the limits that upstreams announce, for all VMs together. */
const createAnnouncedLimits = (
  self: VmId,
  roster: EntryRoster,
  { onRateChange, onRejectionLimitChange, sendPermitRequest }: FleetStateCallbacks,
) => {
  const announcedRates = new AnnouncedRates(onRateChange);
  const runTimes = new RunTimes();
  return {
    announcedRates,
    runTimes,
    rateLimits: new FleetRateLimits({
      self,
      rates: announcedRates,
      listServing: () => roster.listServing().map(({ vmId }) => vmId),
      sendPermitRequest: (granter, request) => sendPermitRequest?.(granter, request),
    }),
    rejectionLimits: new RejectionLimits({
      countSenders: () => roster.findAllSenders()?.length,
      findMeanRunMs: (service) => runTimes.findMeanMs(service),
      onChange: (change) => onRejectionLimitChange?.(change),
    }),
  };
};

/** Creates the admission to the places of services, and what other VMs tell of theirs. */
const createPlaces = (roster: EntryRoster, relays: ZoneRelays, random: RandomGenerator) => {
  const peerWaiting = new PeerWaiting(PEER_LOAD_TTL_MS);
  const fleet = new PlaceFleetView(roster, relays, random);
  return { peerWaiting, places: new PlaceAdmission({ fleet, peers: peerWaiting }) };
};

/** Creates the gateway's view of the fleet, which controllers update and filters read. */
export const createFleetState = (
  self: VmId,
  zone: AvailabilityZoneId,
  callbacks: FleetStateCallbacks = {},
) => {
  const { onQuarantineChange, onEjectionChange, onPaceChange, onReachChange, hasReadFor } =
    callbacks;
  const random = createRandomGenerator();
  const roster = new EntryRoster();
  const limits = createAnnouncedLimits(self, roster, callbacks);
  const peerLoads = new PeerLoads(PEER_LOAD_TTL_MS);
  const ejection = new CappedEjectionPolicy(random, onEjectionChange);
  const registry = new UpstreamRegistry(peerLoads, {
    onJoin({ upstreamId, service }) {
      // A process that has just started answers for none of the failures of the one before it.
      ejection.remove(upstreamId);
      ejection.setGroup(upstreamId, service);
    },
    onLeave(upstreamId) {
      ejection.remove(upstreamId);
      limits.rejectionLimits.remove(upstreamId);
    },
  });
  const relays = new ZoneRelays(roster, self, zone);
  return {
    random,
    ...createPlaces(roster, relays, random),
    /** When this VM begins to read among the followers of a relay, in [0, 1). */
    readPhase: uniformFloat64(random),
    peerLoads,
    roster,
    relays,
    registry,
    reach: new UpstreamReach({
      countUpstreams: () => registry.list().length,
      hasReadFor: (durationMs) => hasReadFor?.(durationMs) ?? true,
      onChange(change) {
        if (change.isCutOff) registry.list().forEach((upstream) => upstream.clearSuspicions());
        onReachChange?.(change);
      },
    }),
    paces: new UpstreamPaces({
      findSenders(upstreamId) {
        const serving = roster.listServing().map(({ vmId }) => vmId);
        const rank = computeRendezvousRank(upstreamId, serving, self);
        return { rank, count: Math.max(1, serving.length) };
      },
      onChange: onPaceChange,
    }),
    blocks: new BlockDirectory(),
    sentParts: new SentParts(),
    begunStreams: new BegunStreams(),
    versions: new VersionsInUse(),
    ...limits,
    quarantine: new CrashQuarantine(onQuarantineChange, (digest) => {
      const serving = roster.listServing().map(({ vmId }) => vmId);
      return computeRendezvousRank(digest, serving, self);
    }),
    ejection,
  };
};

export type FleetState = ReturnType<typeof createFleetState>;
