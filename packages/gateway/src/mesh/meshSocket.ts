import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { once } from 'node:events';
import type { EntryHeartbeat, EntryRoster, QuarantineRow, VmId } from '@goldcrestscale/core';
import { bindAddress } from '@goldcrestscale/runtime';
import type { Logger } from '@goldcrestscale/runtime';
import type { FaultRecorder } from '../faultRecorder.js';
import { splitAddress } from '../socketAddress.js';
import { decodeGossipFields, encodeGossip } from './gossipMessage.js';
import type { GossipMessage } from './gossipMessage.js';
import { decodeDatagram, encodeDatagram } from './meshDatagram.js';
import { decodeQuarantineRows, encodeQuarantineRows } from './quarantineRow.js';
import { decodeRateMessage, encodeRateMessage } from './rateMessage.js';
import type { RateMessage } from './rateMessage.js';

/** Dependencies of the socket. */
export interface MeshSocketOptions {
  readonly self: VmId;
  /** HOST:PORT of this VM. */
  readonly address: string;
  /** Key that authenticates this VM's messages; other VMs learn it from its heartbeat in the log. */
  readonly key: string;
  readonly roster: EntryRoster;
  readonly logger: Logger;
  readonly faults: FaultRecorder;
  /** Called with each authenticated gossip message. */
  readonly onMessage: (message: GossipMessage) => void;
  readonly onRateMessage: (sender: VmId, message: RateMessage) => void;
  readonly onQuarantineRows: (rows: readonly QuarantineRow[]) => void;
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
    this.socket.on('message', (bytes) => {
      options.faults.guard('mesh datagram', () => this.handleDatagram(bytes));
    });
    this.socket.on('error', (error) => {
      options.logger.warn('gossip socket failed', { error: String(error) });
    });
  }

  /** Binds the socket, which is open until the signal aborts; the stop signal ends the start. */
  async start(signal: AbortSignal, stopSignal = signal): Promise<void> {
    const { address, logger } = this.options;
    signal.addEventListener('abort', () => this.socket.close());
    const { host, port } = splitAddress(address);
    await bindAddress({ host, port }, { logger, signal: stopSignal }, async () => {
      // Rejects if the bind fails.
      const bound = once(this.socket, 'listening');
      this.socket.bind(port, host);
      await bound;
    });
  }

  send(message: GossipMessage, targets: readonly EntryHeartbeat[]): void {
    this.sendToOthers(() => encodeGossip(message, this.options.key), targets);
  }

  sendQuarantineRows(rows: readonly QuarantineRow[], targets: readonly EntryHeartbeat[]): void {
    const { self, key } = this.options;
    this.sendToOthers(() => encodeDatagram(self, encodeQuarantineRows(rows), key), targets);
  }

  /** Sends to one VM; a VM without a heartbeat gets nothing. */
  sendRateMessage(message: RateMessage, target: VmId): void {
    const { roster, self, key } = this.options;
    const heartbeat = roster.findHeartbeat(target);
    if (!heartbeat) return;
    const bytes = encodeDatagram(self, encodeRateMessage(message), key);
    this.sendBytes(bytes, heartbeat.meshAddress);
  }

  private sendToOthers(encode: () => Buffer, targets: readonly EntryHeartbeat[]): void {
    const recipients = targets.filter(({ vmId }) => vmId !== this.options.self);
    if (recipients.length === 0) return;
    const bytes = encode();
    recipients.forEach(({ meshAddress }) => this.sendBytes(bytes, meshAddress));
  }

  private sendBytes(bytes: Buffer, address: string): void {
    const { host, port } = splitAddress(address);
    this.socket.send(bytes, port, host);
  }

  private handleDatagram(bytes: Buffer): void {
    const datagram = decodeDatagram(bytes, (vmId) => this.options.roster.findMeshKey(vmId));
    if (!datagram) return;
    const rateMessage = decodeRateMessage(datagram);
    if (rateMessage) this.options.onRateMessage(datagram.sender, rateMessage);
    const rows = decodeQuarantineRows(datagram);
    if (rows) this.options.onQuarantineRows(rows);
    const message = decodeGossipFields(datagram);
    if (message) this.handleGossip(message);
  }

  private handleGossip(message: GossipMessage): void {
    // A relay's aggregates and its own reports are separate message streams.
    const source = `${message.vmId}${message.members ? '/zone' : ''}`;
    if (message.sequence <= (this.highestSequences.get(source) ?? -Infinity)) return;
    this.highestSequences.set(source, message.sequence);
    this.options.onMessage(message);
  }
}
