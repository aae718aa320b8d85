import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import type {
  EntryRoster,
  PeerLoads,
  SentParts,
  UpstreamId,
  UpstreamRegistry,
  VmId,
} from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import { GOSSIP_INTERVAL_MS, GOSSIP_PEERS } from '../constants.js';
import { decodeGossip, encodeGossip } from './gossipMessage.js';

/** What the gossip is built from. */
export interface GossipOptions {
  readonly self: VmId;
  /** HOST:PORT of this VM. */
  readonly address: string;
  /** Proves this VM's messages; its heartbeat in the log tells it to the others. */
  readonly key: string;
  readonly roster: EntryRoster;
  readonly registry: UpstreamRegistry;
  readonly peerLoads: PeerLoads;
  readonly sent: SentParts;
  readonly listLoading: () => readonly UpstreamId[];
  readonly logger: Logger;
}

const splitAddress = (address: string): { readonly host: string; readonly port: number } => {
  const split = address.lastIndexOf(':');
  return { host: address.slice(0, split), port: Number(address.slice(split + 1)) };
};

/**
 * Tells the other entry VMs what this one has in flight, by datagrams. A lost one costs nothing
 * but the age of a figure.
 */
export class Gossip {
  private readonly socket: Socket = createSocket('udp4');

  private readonly sequences = new Map<VmId, number>();

  private sequence = Date.now();

  private hasReported = false;

  constructor(private readonly options: GossipOptions) {
    this.socket.on('message', (bytes) => this.receive(bytes));
    this.socket.on('error', (error) => {
      options.logger.warn('gossip socket failed', { error: String(error) });
    });
  }

  async start(signal: AbortSignal): Promise<void> {
    const { host, port } = splitAddress(this.options.address);
    await new Promise<void>((resolve) => {
      this.socket.bind(port, host, () => resolve());
    });
    let timer: NodeJS.Timeout;
    const send = (): void => {
      this.send();
      timer = setTimeout(send, this.computeIntervalMs());
    };
    timer = setTimeout(send, GOSSIP_INTERVAL_MS);
    signal.addEventListener('abort', () => {
      clearTimeout(timer);
      this.socket.close();
    });
  }

  /** The more peers, the less often each is told, so that the cost a VM stays the same. */
  private computeIntervalMs(): number {
    const peers = this.options.roster.listServing().length;
    return GOSSIP_INTERVAL_MS * Math.max(1, peers / GOSSIP_PEERS);
  }

  /** Tells the others now. */
  send(): void {
    const { self, key, registry, roster, peerLoads, listLoading } = this.options;
    peerLoads.expire();
    const loads = registry
      .list()
      .filter(({ inFlight }) => inFlight > 0)
      .map(({ upstreamId, inFlight, pendingTokens, heldTokens }) => ({
        upstreamId,
        inFlight,
        pendingTokens,
        heldTokens,
      }));
    const loading = listLoading();
    const weights = registry
      .list()
      .flatMap((upstream) =>
        upstream.listLearnedWeights().map((held) => ({ upstreamId: upstream.upstreamId, ...held })),
      );
    const down = this.listDown();
    const sent = this.options.sent.takeNews();
    const hasNews =
      loads.length > 0 ||
      loading.length > 0 ||
      weights.length > 0 ||
      down.length > 0 ||
      sent.length > 0;
    // One empty message tells that the last figures are over.
    if (!hasNews && !this.hasReported) return;
    this.hasReported = hasNews;
    this.sequence += 1;
    const message = { vmId: self, sequence: this.sequence, loads, loading, weights, down, sent };
    const bytes = encodeGossip(message, key);
    roster.listLive().forEach(({ vmId, meshAddress }) => {
      if (vmId === self) return;
      const { host, port } = splitAddress(meshAddress);
      this.socket.send(bytes, port, host);
    });
  }

  /** Notes the upstreams that have fallen silent and lists them; what others told is not repeated. */
  private listDown(): readonly UpstreamId[] {
    return this.options.registry
      .list()
      .filter((upstream) => upstream.isSilent)
      .map((upstream) => {
        if (!upstream.isDown) {
          this.options.logger.warn('upstream silent', { upstreamId: upstream.upstreamId });
        }
        upstream.noteDown();
        return upstream.upstreamId;
      });
  }

  private receive(bytes: Buffer): void {
    const { roster, peerLoads, registry } = this.options;
    const message = decodeGossip(bytes, (vmId) => roster.findKey(vmId));
    if (!message || message.sequence <= (this.sequences.get(message.vmId) ?? -Infinity)) return;
    this.sequences.set(message.vmId, message.sequence);
    peerLoads.note(message.vmId, message.loads);
    roster.noteLoading(message.vmId, message.loading);
    message.sent.forEach((part) => this.options.sent.notePart(part));
    message.down.forEach((upstreamId) => registry.find(upstreamId)?.noteDown());
    message.weights.forEach(({ upstreamId, model, held }) =>
      registry.find(upstreamId)?.noteWeights(model, held),
    );
  }
}
