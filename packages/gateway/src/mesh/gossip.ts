import type {
  AvailabilityZoneId,
  EntryHeartbeat,
  EntryRoster,
  PeerLoads,
  SentParts,
  UpstreamId,
  UpstreamRegistry,
  VmId,
  ZoneRelays,
} from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import {
  GOSSIP_AT_ONCE_MS,
  GOSSIP_AT_ONCE_TOKENS,
  GOSSIP_INTERVAL_MS,
  GOSSIP_MAX_AGE_MS,
  GOSSIP_PEERS,
  RELAY_INTERVAL_MS,
  RELAY_SILENCE_MS,
} from '../constants.js';
import { ForeignDigests } from './foreignDigests.js';
import type { GossipMessage } from './gossipMessage.js';
import { MeshSocket } from './meshSocket.js';
import { ReportBuilder, hasNews } from './reportBuilder.js';
import { ZoneDigest, mergeDigests, removeLoads } from './zoneDigest.js';

/** What the gossip is built from. */
export interface GossipOptions {
  readonly self: VmId;
  readonly zone: AvailabilityZoneId;
  /** HOST:PORT of this VM. */
  readonly address: string;
  /** Proves this VM's messages; its heartbeat in the log tells it to the others. */
  readonly key: string;
  readonly roster: EntryRoster;
  readonly relays: ZoneRelays;
  readonly registry: UpstreamRegistry;
  readonly peerLoads: PeerLoads;
  readonly sent: SentParts;
  readonly listLoading: () => readonly UpstreamId[];
  readonly logger: Logger;
}

/** Own reports that are remembered, to be taken out of a relay's sums. */
const KEPT_REPORTS = 12;

/**
 * Tells the other entry VMs what this one has in flight. In a small fleet each tells each; in a
 * large one a relay of each zone adds up its zone and tells the sums.
 */
export class Gossip {
  private readonly socket: MeshSocket;

  private readonly reports: ReportBuilder;

  private readonly digest = new ZoneDigest(GOSSIP_MAX_AGE_MS);

  private readonly foreign = new ForeignDigests(GOSSIP_MAX_AGE_MS);

  private readonly ownReports: GossipMessage[] = [];

  private hasReported = false;

  private pendingSend: NodeJS.Timeout | undefined;

  constructor(private readonly options: GossipOptions) {
    this.reports = new ReportBuilder(options);
    this.socket = new MeshSocket({
      ...options,
      onMessage: (message) => this.receive(message),
    });
  }

  async start(signal: AbortSignal): Promise<void> {
    await this.socket.start(signal);
    let timer: NodeJS.Timeout;
    const send = (): void => {
      this.send();
      timer = setTimeout(send, this.computeIntervalMs());
    };
    timer = setTimeout(send, GOSSIP_INTERVAL_MS);
    signal.addEventListener('abort', () => {
      clearTimeout(timer);
      clearTimeout(this.pendingSend);
    });
  }

  /** Tells whether a VM of this zone has been heard within that time, in milliseconds. */
  hasHeard(vmId: VmId, withinMs: number): boolean {
    return this.digest.hasHeard(vmId, withinMs);
  }

  /**
   * Notes that a prompt is on its way to an engine. A long one is told at once, or the others send
   * theirs there as well.
   *
   * @param tokens tokens that the engine has to read
   */
  notePrompt(tokens: number): void {
    const isTold = this.pendingSend !== undefined || this.options.relays.isNeeded;
    if (tokens < GOSSIP_AT_ONCE_TOKENS || isTold) return;
    this.pendingSend = setTimeout(() => this.send(), GOSSIP_AT_ONCE_MS);
  }

  /** Tells the others now. */
  send(): void {
    clearTimeout(this.pendingSend);
    this.pendingSend = undefined;
    const { relays, roster, peerLoads } = this.options;
    peerLoads.expire();
    const report = this.reports.build();
    if (relays.isNeeded) {
      this.sendInZone(report);
      return;
    }
    // One empty message tells that the last figures are over.
    if (!hasNews(report) && !this.hasReported) return;
    this.hasReported = hasNews(report);
    this.socket.send(report, roster.listLive());
  }

  /** The more peers, the less often each is told, so that the cost a VM stays the same. */
  private computeIntervalMs(): number {
    const { roster, relays } = this.options;
    if (relays.isNeeded) return RELAY_INTERVAL_MS;
    const peers = roster.listServing().length;
    return GOSSIP_INTERVAL_MS * Math.max(1, peers / GOSSIP_PEERS);
  }

  /** Relays hear every VM of their zone also while it has no news: that it lives is news enough. */
  private sendInZone(report: GossipMessage): void {
    const { relays } = this.options;
    this.ownReports.push(report);
    if (this.ownReports.length > KEPT_REPORTS) this.ownReports.shift();
    this.socket.send(report, relays.listOwn());
    const foreign = this.foreign.takeAll();
    if (!this.isInCharge()) {
      this.digest.dropSent();
      return;
    }
    const digest = this.digest.build(report, this.reports.takeSequence());
    this.socket.send(digest, relays.listForeign());
    const forZone = mergeDigests(digest, foreign, this.reports.takeSequence());
    this.socket.send(forZone, this.listMembers());
  }

  /** The first relay of the zone tells its sums; the second where the first is not heard. */
  private isInCharge(): boolean {
    const { self, relays } = this.options;
    const first = relays
      .listOwn()
      .find(({ vmId }) => vmId === self || this.hasHeard(vmId, RELAY_SILENCE_MS));
    return first?.vmId === self;
  }

  /** Lists the VMs of this zone that hear of the others through its relay. */
  private listMembers(): readonly EntryHeartbeat[] {
    const { roster, zone, relays } = this.options;
    const own = new Set(relays.listOwn().map(({ vmId }) => vmId));
    return roster
      .listLive()
      .filter(({ availabilityZone, vmId }) => availabilityZone === zone && !own.has(vmId));
  }

  private receive(message: GossipMessage): void {
    const { roster, registry, sent } = this.options;
    if (message.members) this.noteSums(message, message.members);
    else this.noteReport(message);
    roster.noteLoading(message.vmId, message.loading);
    message.sent.forEach((part) => sent.notePart(part));
    message.down.forEach((upstreamId) => registry.find(upstreamId)?.noteDown());
    message.weights.forEach(({ upstreamId, model, held }) =>
      registry.find(upstreamId)?.noteWeights(model, held),
    );
  }

  private noteReport(message: GossipMessage): void {
    const { peerLoads, relays, roster, zone } = this.options;
    peerLoads.note(message.vmId, message.loads);
    const isOfZone = roster.find(message.vmId)?.availabilityZone === zone;
    if (relays.isSelf && isOfZone) this.digest.note(message);
  }

  private noteSums(message: GossipMessage, members: NonNullable<GossipMessage['members']>): void {
    const { roster, zone, peerLoads, relays, self } = this.options;
    const from = roster.find(message.vmId)?.availabilityZone;
    if (from === undefined) return;
    if (from !== zone) {
      peerLoads.note(from, message.loads);
      this.foreign.note(from, message);
      return;
    }
    // A relay has the reports of its zone one by one.
    if (relays.isSelf) return;
    const contained = members.find(({ vmId }) => vmId === self)?.sequence;
    const own = this.ownReports.find(({ sequence }) => sequence === contained);
    peerLoads.note(from, own ? removeLoads(message.loads, own.loads) : message.loads);
  }
}
