import { subtractWaiting } from '@goldcrestscale/core';
import type {
  AnnouncedRates,
  EntryHeartbeat,
  EntryRoster,
  FleetRateLimits,
  CrashQuarantine,
  PeerLoads,
  PeerWaiting,
  PermitRequest,
  PlaceAdmission,
  SentParts,
  UpstreamId,
  UpstreamReach,
  UpstreamRegistry,
  VmId,
  ZoneRelays,
} from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import {
  CRASH_REPORT_DELAY_MS,
  CRASH_REPORT_INTERVAL_MS,
  EARLY_GOSSIP_DELAY_MS,
  EARLY_GOSSIP_MIN_TOKENS,
  GOSSIP_INTERVAL_MS,
  PEER_LOAD_TTL_MS,
  RELAY_FAILOVER_MS,
} from '../constants.js';
import type { FaultRecorder } from '../faultRecorder.js';
import { computeGossipIntervalMs } from './gossipInterval.js';
import { RemoteAggregates } from './remoteAggregates.js';
import type { GossipMessage } from './gossipMessage.js';
import { MeshSocket } from './meshSocket.js';
import type { RateMessage } from './rateMessage.js';
import { ReportBuilder, hasContent } from './reportBuilder.js';
import { ZoneAggregator, mergeAggregates, subtractLoads } from './zoneAggregator.js';

/** Dependencies of the gossip protocol. */
export interface GossipOptions {
  readonly self: VmId;
  /** HOST:PORT of this VM. */
  readonly address: string;
  /** Key that authenticates this VM's messages; other VMs learn it from its heartbeat in the log. */
  readonly key: string;
  readonly roster: EntryRoster;
  readonly relays: ZoneRelays;
  readonly registry: UpstreamRegistry;
  readonly peerLoads: PeerLoads;
  readonly peerWaiting: PeerWaiting;
  readonly places: Pick<PlaceAdmission, 'listWaiting'>;
  readonly sentParts: SentParts;
  readonly quarantine: CrashQuarantine;
  readonly announcedRates: AnnouncedRates;
  readonly rateLimits: FleetRateLimits;
  readonly listLoading: () => readonly UpstreamId[];
  /** Whether this VM has read its input without a pause for a duration. */
  readonly hasReadFor: (durationMs: number) => boolean;
  readonly reach: Pick<UpstreamReach, 'isCutOff' | 'hasContactSince'>;
  readonly logger: Logger;
  readonly faults: FaultRecorder;
}

/** Number of own reports that are kept, so that they can be subtracted from a relay's sums. */
const MAX_OWN_REPORTS = 12;

/**
 * Gossips this VM's load to the other entry VMs. In a small fleet, every VM sends to every other; in
 * a large one, a relay aggregates the reports of each group and sends the sums.
 */
export class Gossip {
  private readonly socket: MeshSocket;

  private readonly reportBuilder: ReportBuilder;

  private readonly aggregator = new ZoneAggregator(PEER_LOAD_TTL_MS);

  private readonly remoteAggregates = new RemoteAggregates(PEER_LOAD_TTL_MS);

  private readonly ownReports: GossipMessage[] = [];

  private lastReportHadContent = false;

  private pendingSend: NodeJS.Timeout | undefined;

  private pendingCrashReport: NodeJS.Timeout | undefined;

  private lastCrashReportAtMs = -Infinity;

  constructor(private readonly options: GossipOptions) {
    this.reportBuilder = new ReportBuilder(options);
    this.socket = new MeshSocket({
      ...options,
      onMessage: (message) => this.handleMessage(message),
      onRateMessage: (sender, message) => this.handleRateMessage(sender, message),
      onQuarantineRows: (rows) => options.quarantine.merge(rows),
    });
  }

  async start(signal: AbortSignal, stopSignal = signal): Promise<void> {
    await this.socket.start(signal, stopSignal);
    if (stopSignal.aborted) return;
    let timer: NodeJS.Timeout;
    const send = (): void => {
      this.send();
      timer = setTimeout(send, this.computeIntervalMs());
    };
    timer = setTimeout(send, GOSSIP_INTERVAL_MS);
    signal.addEventListener('abort', () => {
      clearTimeout(timer);
      clearTimeout(this.pendingSend);
      clearTimeout(this.pendingCrashReport);
    });
  }

  /** Whether a VM of this group has sent a report within the last `withinMs`. */
  hasReportFrom(vmId: VmId, withinMs: number): boolean {
    return this.aggregator.hasReportFrom(vmId, withinMs);
  }

  /**
   * Gossips a long prompt early, so that the other VMs do not send theirs to the same engine.
   *
   * @param tokens tokens that the engine has to prefill
   */
  handlePromptSent(tokens: number): void {
    const isRedundant = this.pendingSend !== undefined || this.options.relays.isAggregating;
    if (tokens < EARLY_GOSSIP_MIN_TOKENS || isRedundant) return;
    this.pendingSend = setTimeout(() => this.send(), EARLY_GOSSIP_DELAY_MS);
  }

  /** Reports crashes to all VMs directly, since each one that relays take longer may end an upstream. */
  reportCrashes(): void {
    if (this.pendingCrashReport) return;
    const dueAtMs = this.lastCrashReportAtMs + CRASH_REPORT_INTERVAL_MS;
    const delayMs = Math.max(CRASH_REPORT_DELAY_MS, dueAtMs - performance.now());
    this.pendingCrashReport = setTimeout(() => {
      const { quarantine, roster } = this.options;
      this.pendingCrashReport = undefined;
      this.lastCrashReportAtMs = performance.now();
      this.socket.sendQuarantineRows(quarantine.takeRows(), roster.listLive());
    }, delayMs);
  }

  /** Requests a permit for an upstream with a rate limit from another VM. */
  sendPermitRequest(granter: VmId, request: PermitRequest): void {
    this.socket.sendRateMessage({ kind: 'request', request }, granter);
  }

  /** Sends this VM's report now. */
  send(): void {
    clearTimeout(this.pendingSend);
    this.pendingSend = undefined;
    const { relays, roster, peerLoads, rateLimits } = this.options;
    peerLoads.expireReports();
    rateLimits.refresh();
    const report = this.reportBuilder.build();
    if (relays.isAggregating) {
      this.sendWithinGroup(report);
      return;
    }
    // One empty message clears the figures of the previous report at the peers.
    if (!hasContent(report) && !this.lastReportHadContent) return;
    this.lastReportHadContent = hasContent(report);
    this.socket.send(report, roster.listLive());
  }

  private computeIntervalMs(): number {
    const { roster, relays } = this.options;
    return computeGossipIntervalMs(relays, roster.listServing().length);
  }

  /** Sends reports to the group's relays even when they are empty, as a sign of liveness. */
  private sendWithinGroup(report: GossipMessage): void {
    const { relays, roster } = this.options;
    this.ownReports.push(report);
    if (this.ownReports.length > MAX_OWN_REPORTS) this.ownReports.shift();
    this.socket.send(report, relays.listOwnGroup());
    if (relays.isGroupRelay) roster.recordHeard(this.aggregator.listReporting());
    const remoteAggregates = this.remoteAggregates.takeAll();
    if (!this.isActiveRelay()) {
      this.aggregator.discardSent();
      return;
    }
    const aggregate = this.aggregator.build(report, this.reportBuilder.takeNextSequence());
    this.socket.send(aggregate, relays.listOtherGroups());
    const groupMessage = mergeAggregates(
      aggregate,
      remoteAggregates,
      this.reportBuilder.takeNextSequence(),
    );
    this.socket.send(groupMessage, this.listGroupFollowers());
  }

  /** Whether this VM is the first relay of the group that is alive; only that one sends aggregates. */
  private isActiveRelay(): boolean {
    const { self, relays } = this.options;
    const first = relays
      .listOwnGroup()
      .find(({ vmId }) => vmId === self || this.hasReportFrom(vmId, RELAY_FAILOVER_MS));
    return first?.vmId === self;
  }

  /** Lists the VMs of this group that receive the aggregates from its relay. */
  private listGroupFollowers(): readonly EntryHeartbeat[] {
    const { roster, relays } = this.options;
    const own = new Set(relays.listOwnGroup().map(({ vmId }) => vmId));
    return roster
      .listLive()
      .filter(
        ({ availabilityZone, vmId }) => relays.isOwnGroup(availabilityZone) && !own.has(vmId),
      );
  }

  private handleRateMessage(sender: VmId, message: RateMessage): void {
    const { rateLimits } = this.options;
    if (message.kind === 'reply') {
      rateLimits.handleReply(sender, message.reply);
      return;
    }
    const reply = rateLimits.handlePermitRequest(sender, message.request);
    this.socket.sendRateMessage({ kind: 'reply', reply }, sender);
  }

  private handleMessage(message: GossipMessage): void {
    const { roster, registry, sentParts, quarantine, announcedRates } = this.options;
    if (message.members) this.recordAggregate(message, message.members);
    else this.recordReport(message);
    roster.recordLoading(message.vmId, message.loading);
    message.sentParts.forEach((part) => sentParts.recordPart(part));
    quarantine.merge(message.quarantine);
    announcedRates.merge(message.rates);
    message.down.forEach((upstreamId) => registry.find(upstreamId)?.markReportedDown());
    message.leaving.forEach(({ upstreamId, startedAtMs }) => {
      if (registry.recordLeaving(upstreamId, startedAtMs)) {
        this.options.logger.info('upstream leaves', { upstreamId, reportedBy: message.vmId });
      }
    });
    message.weights.forEach(({ upstreamId, model, weightNumber }) =>
      registry.find(upstreamId)?.recordWeights(model, weightNumber),
    );
  }

  private recordReport(message: GossipMessage): void {
    const { peerLoads, peerWaiting, relays, roster } = this.options;
    peerLoads.recordReport(message.vmId, message.loads);
    peerWaiting.recordReport(message.vmId, message.waiting ?? []);
    const senderZone = roster.findHeartbeat(message.vmId)?.availabilityZone;
    if (relays.isGroupRelay && relays.isOwnGroup(senderZone)) this.aggregator.add(message);
  }

  private recordAggregate(
    message: GossipMessage,
    members: NonNullable<GossipMessage['members']>,
  ): void {
    const { roster, peerLoads, peerWaiting, relays, self } = this.options;
    const { waiting = [] } = message;
    const senderZone = roster.findHeartbeat(message.vmId)?.availabilityZone;
    if (senderZone === undefined) return;
    if (!relays.isOwnGroup(senderZone)) {
      peerLoads.recordReport(senderZone, message.loads);
      peerWaiting.recordReport(senderZone, waiting);
      this.remoteAggregates.add(senderZone, message);
      return;
    }
    // A relay receives the individual reports of its group.
    if (relays.isGroupRelay) return;
    roster.recordHeard(members.map(({ vmId }) => vmId));
    const ownSequence = members.find(({ vmId }) => vmId === self)?.sequence;
    const ownReport = this.ownReports.find(({ sequence }) => sequence === ownSequence);
    peerLoads.recordReport(
      senderZone,
      ownReport ? subtractLoads(message.loads, ownReport.loads) : message.loads,
    );
    peerWaiting.recordReport(senderZone, subtractWaiting(waiting, ownReport?.waiting ?? []));
  }
}
