import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import type { EntryHeartbeat, EntryRoster, VmId } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import { splitAddress } from '../socketAddress.js';
import { decodeGossip, encodeGossip } from './gossipMessage.js';
import type { GossipMessage } from './gossipMessage.js';

/** What the socket is made of. */
export interface MeshSocketOptions {
  readonly self: VmId;
  /** HOST:PORT of this VM. */
  readonly address: string;
  /** Proves this VM's messages; its heartbeat in the log tells it to the others. */
  readonly key: string;
  readonly roster: EntryRoster;
  readonly logger: Logger;
  /** Takes a message whose proof holds. */
  readonly onMessage: (message: GossipMessage) => void;
}

/**
 * Sends and receives messages between entry VMs as datagrams. A lost one costs nothing but the
 * age of a figure.
 */
export class MeshSocket {
  private readonly socket: Socket = createSocket('udp4');

  /** Newest message of each VM: what comes later and is older is dropped. */
  private readonly sequences = new Map<string, number>();

  constructor(private readonly options: MeshSocketOptions) {
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
    signal.addEventListener('abort', () => this.socket.close());
  }

  send(message: GossipMessage, targets: readonly EntryHeartbeat[]): void {
    const others = targets.filter(({ vmId }) => vmId !== this.options.self);
    if (others.length === 0) return;
    const bytes = encodeGossip(message, this.options.key);
    others.forEach(({ meshAddress }) => {
      const { host, port } = splitAddress(meshAddress);
      this.socket.send(bytes, port, host);
    });
  }

  private receive(bytes: Buffer): void {
    const message = decodeGossip(bytes, (vmId) => this.options.roster.findKey(vmId));
    if (!message) return;
    // A relay's sums and its own figures come in messages of their own.
    const source = `${message.vmId}${message.members ? '/zone' : ''}`;
    if (message.sequence <= (this.sequences.get(source) ?? -Infinity)) return;
    this.sequences.set(source, message.sequence);
    this.options.onMessage(message);
  }
}
