import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import type { EntryHeartbeat, EntryRoster, VmId } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import { splitAddress } from '../socketAddress.js';
import { decodeGossip, encodeGossip } from './gossipMessage.js';
import type { GossipMessage } from './gossipMessage.js';

/** Dependencies of the socket. */
export interface MeshSocketOptions {
  readonly self: VmId;
  /** HOST:PORT of this VM. */
  readonly address: string;
  /** Key that authenticates this VM's messages; other VMs learn it from its heartbeat in the log. */
  readonly key: string;
  readonly roster: EntryRoster;
  readonly logger: Logger;
  /** Called with each authenticated message. */
  readonly onMessage: (message: GossipMessage) => void;
}

/**
 * Sends and receives gossip messages as datagrams. A lost datagram only means that the figures are
 * updated later.
 */
export class MeshSocket {
  private readonly socket: Socket = createSocket('udp4');

  /** Highest sequence number received from each source; messages with lower ones are dropped. */
  private readonly highestSequences = new Map<string, number>();

  constructor(private readonly options: MeshSocketOptions) {
    this.socket.on('message', (bytes) => this.handleDatagram(bytes));
    this.socket.on('error', (error) => {
      options.logger.warn('gossip socket failed', { error: String(error) });
    });
  }

  async start(signal: AbortSignal): Promise<void> {
    const { host, port } = splitAddress(this.options.address);
    await new Promise<void>((resolve) => {
      this.socket.bind(port, host, () => resolve());
    });
    signal.addEventListener('abort', () => this.socket.close());
  }

  send(message: GossipMessage, targets: readonly EntryHeartbeat[]): void {
    const recipients = targets.filter(({ vmId }) => vmId !== this.options.self);
    if (recipients.length === 0) return;
    const bytes = encodeGossip(message, this.options.key);
    recipients.forEach(({ meshAddress }) => {
      const { host, port } = splitAddress(meshAddress);
      this.socket.send(bytes, port, host);
    });
  }

  private handleDatagram(bytes: Buffer): void {
    const message = decodeGossip(bytes, (vmId) => this.options.roster.findMeshKey(vmId));
    if (!message) return;
    // A relay's aggregates and its own reports are separate message streams.
    const source = `${message.vmId}${message.members ? '/zone' : ''}`;
    if (message.sequence <= (this.highestSequences.get(source) ?? -Infinity)) return;
    this.highestSequences.set(source, message.sequence);
    this.options.onMessage(message);
  }
}
