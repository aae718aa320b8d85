import { createServer } from 'node:net';
import type { Socket } from 'node:net';
import type { EntryRoster, VmId } from '@goldcrestscale/core';
import { listen } from '@goldcrestscale/runtime';
import type { Logger } from '@goldcrestscale/runtime';
import { FEED_BACKLOG_BYTES, FEED_FLUSH_MS } from '../constants.js';
import type { KeyedRecord } from '../ports/index.js';
import { splitAddress } from '../socketAddress.js';
import type { FeedIdentity } from './feedFrame.js';
import { encodeFeedContent } from './feedMessage.js';
import type { FeedMessage, RelayedBlocks, RelayedPosition } from './feedMessage.js';
import { FeedReader } from './feedReader.js';
import { FeedWriter } from './feedWriter.js';

/** What the server tells its followers. */
export interface FeedServerOptions {
  /** HOST:PORT of this VM. */
  readonly address: string;
  /** Proves this VM's messages. */
  readonly key: string;
  readonly roster: EntryRoster;
  readonly logger: Logger;
  /** How far this VM has read by itself. */
  readonly listPositions: () => readonly RelayedPosition[];
  /** All that the stores hold, as this VM has read by itself. */
  readonly listBlockSnapshots: () => readonly RelayedBlocks[];
  /** Whether a VM has been heard a moment ago by another way than its connection. */
  readonly isHeard: (vmId: VmId) => boolean;
}

interface Follower {
  readonly socket: Socket;
  readonly vmId: VmId;
  readonly writer: FeedWriter;
  heartbeat: KeyedRecord | undefined;
}

/** Tells other VMs of the zone what this one reads from the log and the stores. */
export class FeedServer {
  private readonly followers = new Map<Socket, Follower>();

  private pending: FeedMessage[] = [];

  private flushTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: FeedServerOptions) {}

  async start(signal: AbortSignal): Promise<void> {
    const server = createServer((socket) => this.accept(socket));
    await listen(server, splitAddress(this.options.address));
    signal.addEventListener('abort', () => {
      server.close();
      clearTimeout(this.flushTimer);
      this.followers.forEach(({ socket }) => socket.destroy());
    });
  }

  /** Tells all followers, together with what else is read within a moment. */
  publish(message: FeedMessage): void {
    if (this.followers.size === 0) return;
    this.pending.push(message);
    this.flushTimer ??= setTimeout(() => this.flush(), FEED_FLUSH_MS);
  }

  /** Lists the heartbeats of the followers that live. */
  listHeartbeats(): readonly KeyedRecord[] {
    return [...this.followers.values()].flatMap(({ heartbeat, vmId }) =>
      heartbeat && this.options.isHeard(vmId) ? [heartbeat] : [],
    );
  }

  private flush(): void {
    clearTimeout(this.flushTimer);
    this.flushTimer = undefined;
    if (this.pending.length === 0) return;
    const content = encodeFeedContent({ kind: 'several', messages: this.pending });
    this.pending = [];
    this.followers.forEach((follower) => this.send(follower, content));
  }

  private accept(socket: Socket): void {
    socket.setNoDelay(true);
    const reader = new FeedReader((first) => this.findSender(first));
    socket.on('data', (chunk) => {
      try {
        reader.push(chunk).forEach((message) => this.receive(socket, message));
      } catch (cause) {
        this.options.logger.warn('follower dropped', { error: String(cause) });
        socket.destroy();
      }
    });
    socket.on('error', (error) => {
      this.options.logger.info('follower lost', { error: String(error) });
    });
    socket.on('close', () => this.followers.delete(socket));
  }

  private findSender(first: FeedMessage): FeedIdentity | undefined {
    if (first.kind !== 'hello') return undefined;
    const key = this.options.roster.findKey(first.vmId);
    return key === undefined ? undefined : { key, nonce: first.nonce };
  }

  private receive(socket: Socket, message: FeedMessage): void {
    const follower = this.followers.get(socket);
    if (message.kind === 'hello') {
      const writer = new FeedWriter({ key: this.options.key, nonce: message.nonce });
      const begun = { socket, vmId: message.vmId, writer, heartbeat: undefined };
      // What is pending is part of what the new follower gets as a whole.
      this.flush();
      this.followers.set(socket, begun);
      this.options
        .listBlockSnapshots()
        .forEach((blocks) => this.send(begun, encodeFeedContent({ kind: 'blocks', blocks })));
    } else if (message.kind === 'ask' && follower) {
      // A position must not come before the records that lead to it.
      this.flush();
      const positions = this.options.listPositions();
      const answer = { kind: 'positions', question: message.question, positions } as const;
      this.send(follower, encodeFeedContent(answer));
    } else if (message.kind === 'heartbeat' && follower) {
      follower.heartbeat = message.record;
    }
  }

  private send({ socket, writer, vmId }: Follower, content: Buffer): void {
    if (socket.writableLength > FEED_BACKLOG_BYTES) {
      this.options.logger.warn('follower too slow', { vmId });
      socket.destroy();
      return;
    }
    socket.write(writer.encode(content));
  }
}
