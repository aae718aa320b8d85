import { sumWaiting } from '@goldcrestscale/core';
import type { PeerLoad, SentPart, UpstreamBoot, UpstreamId, VmId } from '@goldcrestscale/core';
import { MAX_FORWARDED_PARTS } from '../constants.js';
import type { GossipMessage, LearnedWeights } from './gossipMessage.js';

interface ReceivedReport {
  readonly report: GossipMessage;
  readonly receivedAtMs: number;
}

/** Sums loads by upstream. */
export const sumLoads = (lists: readonly (readonly PeerLoad[])[]): readonly PeerLoad[] => {
  const sums = new Map<UpstreamId, PeerLoad>();
  lists.flat().forEach((load) => {
    const sum = sums.get(load.upstreamId);
    sums.set(load.upstreamId, {
      upstreamId: load.upstreamId,
      inFlight: load.inFlight + (sum?.inFlight ?? 0),
      pendingTokens: load.pendingTokens + (sum?.pendingTokens ?? 0),
      inFlightTokens: load.inFlightTokens + (sum?.inFlightTokens ?? 0),
    });
  });
  return [...sums.values()];
};

/** Subtracts one VM's loads from sums that include them. */
export const subtractLoads = (
  total: readonly PeerLoad[],
  part: readonly PeerLoad[],
): readonly PeerLoad[] => {
  const negated = part.map(({ upstreamId, inFlight, pendingTokens, inFlightTokens }) => ({
    upstreamId,
    inFlight: -inFlight,
    pendingTokens: -pendingTokens,
    inFlightTokens: -inFlightTokens,
  }));
  return sumLoads([total, negated]).filter(({ inFlight }) => inFlight > 0);
};

const pickNewestWeights = (lists: readonly (readonly LearnedWeights[])[]): LearnedWeights[] => {
  const newest = new Map<string, LearnedWeights>();
  lists.flat().forEach((learned) => {
    const key = `${learned.upstreamId}/${learned.model}`;
    if ((newest.get(key)?.weightNumber ?? -Infinity) < learned.weightNumber)
      newest.set(key, learned);
  });
  return [...newest.values()];
};

const listDistinct = (lists: readonly (readonly UpstreamId[])[]): readonly UpstreamId[] => [
  ...new Set(lists.flat()),
];

const listDistinctBoots = (leaving: readonly UpstreamBoot[]): readonly UpstreamBoot[] => [
  ...new Map(leaving.map((one) => [`${one.upstreamId}/${one.startedAtMs}`, one])).values(),
];

/** Combines all fields of several messages except for the sent parts, which are forwarded only once. */
const combineMessages = (
  messages: readonly GossipMessage[],
): Pick<GossipMessage, 'loads' | 'loading' | 'down' | 'weights' | 'leaving' | 'waiting'> => ({
  loads: sumLoads(messages.map(({ loads }) => loads)),
  loading: listDistinct(messages.map(({ loading }) => loading)),
  down: listDistinct(messages.map(({ down }) => down)),
  weights: pickNewestWeights(messages.map(({ weights }) => weights)),
  leaving: listDistinctBoots(messages.flatMap(({ leaving }) => leaving)),
  waiting: sumWaiting(messages.map(({ waiting = [] }) => waiting)),
});

/** Adds the aggregates of other zones to that of this VM's zone, for the VMs of this zone. */
export const mergeAggregates = (
  own: GossipMessage,
  remoteAggregates: readonly GossipMessage[],
  sequence: number,
): GossipMessage => {
  const all = [own, ...remoteAggregates];
  return {
    ...own,
    ...combineMessages(all),
    sequence,
    sentParts: all.flatMap(({ sentParts }) => sentParts).slice(-MAX_FORWARDED_PARTS),
  };
};

/** Aggregates the reports of a zone's VMs into one message. */
export class ZoneAggregator {
  private readonly reports = new Map<VmId, ReceivedReport>();

  private sentParts: SentPart[] = [];

  /** @param maxAgeMs age at which a report expires */
  constructor(private readonly maxAgeMs: number) {}

  add(report: GossipMessage): void {
    this.reports.set(report.vmId, { report, receivedAtMs: performance.now() });
    this.sentParts = [...this.sentParts, ...report.sentParts].slice(-MAX_FORWARDED_PARTS);
  }

  /** Discards the collected sent parts, because another relay forwards them. */
  discardSent(): void {
    this.sentParts = [];
  }

  /** Whether a VM has sent a report within the last `withinMs`. */
  hasReportFrom(vmId: VmId, withinMs: number): boolean {
    const receivedAtMs = this.reports.get(vmId)?.receivedAtMs ?? -Infinity;
    return performance.now() - receivedAtMs < withinMs;
  }

  /** Lists the VMs whose last reports have not expired. */
  listReporting(): readonly VmId[] {
    this.expire();
    return [...this.reports.keys()];
  }

  /** @param own the report of this VM, which is included in the aggregate */
  build(own: GossipMessage, sequence: number): GossipMessage {
    this.expire();
    const reports = [own, ...[...this.reports.values()].map(({ report }) => report)];
    const sentParts = [...own.sentParts, ...this.sentParts].slice(-MAX_FORWARDED_PARTS);
    this.sentParts = [];
    return {
      vmId: own.vmId,
      sequence,
      ...combineMessages(reports),
      sentParts,
      // The rows of the zone's VMs have been merged into this VM's own.
      quarantine: own.quarantine,
      rates: own.rates,
      members: reports.map((report) => ({ vmId: report.vmId, sequence: report.sequence })),
    };
  }

  private expire(): void {
    const minReceivedAtMs = performance.now() - this.maxAgeMs;
    this.reports.forEach(({ receivedAtMs }, vmId) => {
      if (receivedAtMs < minReceivedAtMs) this.reports.delete(vmId);
    });
  }
}
