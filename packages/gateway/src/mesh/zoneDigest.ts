import type { PeerLoad, SentPart, UpstreamId, VmId } from '@goldcrestscale/core';
import type { GossipMessage, LearnedWeights } from './gossipMessage.js';

interface MemberReport {
  readonly report: GossipMessage;
  readonly receivedAtMs: number;
}

/** Adds up loads by upstream. */
export const sumLoads = (lists: readonly (readonly PeerLoad[])[]): readonly PeerLoad[] => {
  const sums = new Map<UpstreamId, PeerLoad>();
  lists.flat().forEach((load) => {
    const sum = sums.get(load.upstreamId);
    sums.set(load.upstreamId, {
      upstreamId: load.upstreamId,
      inFlight: load.inFlight + (sum?.inFlight ?? 0),
      pendingTokens: load.pendingTokens + (sum?.pendingTokens ?? 0),
      heldTokens: load.heldTokens + (sum?.heldTokens ?? 0),
    });
  });
  return [...sums.values()];
};

/** Takes one VM's part out of the sums that contain it. */
export const removeLoads = (
  total: readonly PeerLoad[],
  part: readonly PeerLoad[],
): readonly PeerLoad[] => {
  const negated = part.map(({ upstreamId, inFlight, pendingTokens, heldTokens }) => ({
    upstreamId,
    inFlight: -inFlight,
    pendingTokens: -pendingTokens,
    heldTokens: -heldTokens,
  }));
  return sumLoads([total, negated]).filter(({ inFlight }) => inFlight > 0);
};

const pickNewestWeights = (lists: readonly (readonly LearnedWeights[])[]): LearnedWeights[] => {
  const newest = new Map<string, LearnedWeights>();
  lists.flat().forEach((learned) => {
    const key = `${learned.upstreamId}/${learned.model}`;
    if ((newest.get(key)?.held ?? -Infinity) < learned.held) newest.set(key, learned);
  });
  return [...newest.values()];
};

const listDistinct = (lists: readonly (readonly UpstreamId[])[]): readonly UpstreamId[] => [
  ...new Set(lists.flat()),
];

/** Combines what several messages say, but for the parts sent, which are passed on once. */
const combineFigures = (
  messages: readonly GossipMessage[],
): Pick<GossipMessage, 'loads' | 'loading' | 'down' | 'weights'> => ({
  loads: sumLoads(messages.map(({ loads }) => loads)),
  loading: listDistinct(messages.map(({ loading }) => loading)),
  down: listDistinct(messages.map(({ down }) => down)),
  weights: pickNewestWeights(messages.map(({ weights }) => weights)),
});

/** Adds the sums of other zones to those of the own zone, for the VMs of that zone. */
export const mergeDigests = (
  own: GossipMessage,
  foreign: readonly GossipMessage[],
  sequence: number,
): GossipMessage => {
  const all = [own, ...foreign];
  return {
    ...own,
    ...combineFigures(all),
    sequence,
    sent: all.flatMap(({ sent }) => sent),
  };
};

/** Collects the reports of a zone's VMs and gives their sums as one message. */
export class ZoneDigest {
  private readonly reports = new Map<VmId, MemberReport>();

  private sent: SentPart[] = [];

  /** @param maxAgeMs age at which a report no longer counts, in milliseconds */
  constructor(private readonly maxAgeMs: number) {}

  note(report: GossipMessage): void {
    this.reports.set(report.vmId, { report, receivedAtMs: performance.now() });
    this.sent.push(...report.sent);
  }

  /** Drops the parts that its VMs told: another relay passes them on. */
  dropSent(): void {
    this.sent = [];
  }

  /** Tells whether a VM has been heard within that time, in milliseconds. */
  hasHeard(vmId: VmId, withinMs: number): boolean {
    const receivedAtMs = this.reports.get(vmId)?.receivedAtMs ?? -Infinity;
    return performance.now() - receivedAtMs < withinMs;
  }

  /** @param own the report of this VM, which is part of the sums */
  build(own: GossipMessage, sequence: number): GossipMessage {
    this.expire();
    const reports = [own, ...[...this.reports.values()].map(({ report }) => report)];
    const sent = [...own.sent, ...this.sent];
    this.sent = [];
    return {
      vmId: own.vmId,
      sequence,
      ...combineFigures(reports),
      sent,
      members: reports.map((report) => ({ vmId: report.vmId, sequence: report.sequence })),
    };
  }

  private expire(): void {
    const oldestMs = performance.now() - this.maxAgeMs;
    this.reports.forEach(({ receivedAtMs }, vmId) => {
      if (receivedAtMs < oldestMs) this.reports.delete(vmId);
    });
  }
}
