import { createServer } from 'node:net';
import type { Socket } from 'node:net';
import type { EntryRoster, UpstreamId, VmId } from '@goldcrestscale/core';
import { listen } from '@goldcrestscale/runtime';
import type { Logger } from '@goldcrestscale/runtime';
import {
  FEED_BATCH_DELAY_MS,
  FOLLOWER_LIMIT_TTL_MS,
  FOLLOWER_TIMEOUT_MS,
  MAX_FOLLOWER_BACKLOG_BYTES,
  MAX_SNAPSHOT_BACKLOG_BYTES,
  UNSENT_WAIT_MS,
} from '../constants.js';
import type { FaultRecorder } from '../faultRecorder.js';
import type { GatewayMetrics } from '../metrics.js';
import type { KeyedRecord } from '../ports/index.js';
import { splitAddress } from '../socketAddress.js';
import { FeedError } from './feedError.js';
import type { FrameAuth } from './feedFrame.js';
import { encodeFeedContent } from './feedMessage.js';
import type { FeedMessage, RelayedBlocks, RelayedPosition } from './feedMessage.js';
import { groupMessages } from './feedParts.js';
import { FeedWriter } from './feedWriter.js';
import { LinkShare } from './linkShare.js';
import { MeshConnections } from './meshConnections.js';
import type { MeshConnectionMetrics } from './meshConnections.js';
import { UnsentContents } from './unsentContents.js';

/** Dependencies of the server. */
export interface FeedServerOptions {
  /** HOST:PORT of this VM. */
  readonly address: string;
  /** Key that authenticates this VM's messages. */
  readonly key: string;
  readonly roster: EntryRoster;
  readonly logger: Logger;
  readonly faults: FaultRecorder;
  readonly metrics: Pick<GatewayMetrics, 'setFollowers' | 'countFeedBytes'> & MeshConnectionMetrics;
  /** Memory for messages in part of all followers, and the same for what they have not been sent. */
  readonly memoryBytes: number;
  /** Bandwidth of this VM's link, in Mbit/s. */
  readonly linkMbps: number;
  /** Lists the positions of the topics that this VM reads from the log itself. */
  readonly listPositions: () => readonly RelayedPosition[];
  /** Lists the addresses of the block stores that this VM reads itself. */
  readonly listStores: () => readonly string[];
  /** Begins to list the contents of a block store. */
  readonly scanBlocks: (address: string) => BlockScan;
  /** Called with a follower's record of begun streams. */
  readonly onStreamRecord: (record: KeyedRecord) => void;
  /** Takes over a connection that another VM wants extended to an upstream. */
  readonly onTunnel: (socket: Socket, upstreamId: UpstreamId) => void;
  /** Whether a VM has sent gossip recently, which a small fleet does only while it has load. */
  readonly isAlive: (vmId: VmId) => boolean;
}

/** The contents of a block store, part by part. */
export interface BlockScan {
  /** Returns the next part, the last one without more; undefined if this VM doesn't read the store any more. */
  nextPart(): RelayedBlocks | undefined;
}

interface Follower {
  readonly socket: Socket;
  readonly vmId: VmId;
  readonly writer: FeedWriter;
  heartbeat: KeyedRecord | undefined;
  /** Time of the last data from it; followers ask for positions at a fixed interval. */
  receivedAtMs: number;
  /** Block stores whose contents it still has to get. */
  readonly pendingStores: string[];
  /** The store of which it has got a part. */
  scan: BlockScan | undefined;
}

const isWaiting = ({ socket, pendingStores, scan }: Follower): boolean =>
  !socket.destroyed && (scan !== undefined || pendingStores.length > 0);

/** Wait for the link from which a relay has too many followers, in milliseconds. */
const MAX_LINK_WAIT_MS = 500;

/** Fraction of the followers that stays if there are too many. */
const KEPT_FRACTION = 0.5;

/** Relays what this VM reads from the log and the block stores to the followers in its group. */
export class FeedServer {
  private readonly followers = new Map<Socket, Follower>();

  private pendingMessages: FeedMessage[] = [];

  private flushTimer: NodeJS.Timeout | undefined;

  /** Bytes sent since the first follower connected. */
  private sentBytes = 0;

  private relayingSinceMs: number | undefined;

  private readonly linkShare: LinkShare;

  private snapshotTimer: NodeJS.Timeout | undefined;

  private followerLimit: { readonly count: number; readonly expiresAtMs: number } | undefined;

  private readonly unsent = new UnsentContents();

  private readonly connections: MeshConnections;

  constructor(private readonly options: FeedServerOptions) {
    this.linkShare = new LinkShare(options.linkMbps);
    this.connections = new MeshConnections({
      logger: options.logger,
      metrics: options.metrics,
      memoryBytes: options.memoryBytes,
      getUnsentBytes: () => this.unsent.heldBytes,
      findSenderAuth: (first) => this.findSenderAuth(first),
      onMessage: (socket, message) => this.handleMessage(socket, message),
      onClose: (socket) => {
        if (this.followers.delete(socket)) this.recordFollowers();
      },
    });
  }

  /** Listens until the signal aborts; the stop signal ends the start. */
  async start(signal: AbortSignal, stopSignal = signal): Promise<void> {
    const { address, logger, faults } = this.options;
    const server = createServer((socket) => this.connections.accept(socket));
    await listen(server, splitAddress(address), {
      logger,
      signal: stopSignal,
      onError: (error) => faults.record('listener', error, { listener: 'mesh' }),
    });
    this.connections.start(signal);
    signal.addEventListener('abort', () => {
      server.close();
      clearTimeout(this.flushTimer);
      clearTimeout(this.snapshotTimer);
    });
  }

  /** Sends a message to all followers, batched with others of the same short interval. */
  publish(message: FeedMessage): void {
    if (this.followers.size === 0) return;
    this.pendingMessages.push(message);
    this.flushTimer ??= setTimeout(() => this.flush(), FEED_BATCH_DELAY_MS);
  }

  countFollowers(): number {
    return this.followers.size;
  }

  /** Lists the heartbeats of the live followers. */
  listFollowerHeartbeats(): readonly KeyedRecord[] {
    const oldestMs = performance.now() - FOLLOWER_TIMEOUT_MS;
    return [...this.followers.values()].flatMap(({ heartbeat, vmId, receivedAtMs }) =>
      heartbeat && (receivedAtMs > oldestMs || this.options.isAlive(vmId)) ? [heartbeat] : [],
    );
  }

  private flush(): void {
    clearTimeout(this.flushTimer);
    this.flushTimer = undefined;
    if (this.pendingMessages.length === 0) return;
    const contents = groupMessages(this.pendingMessages).map((messages) =>
      encodeFeedContent({ kind: 'several', messages }),
    );
    this.pendingMessages = [];
    this.followers.forEach((follower) => this.send(follower, contents));
    if (this.linkShare.computeWaitMs() > MAX_LINK_WAIT_MS) this.dropFollowers();
  }

  /** Drops the newest followers, because the link can't carry them all. */
  private dropFollowers(): void {
    const followers = [...this.followers.values()];
    const count = Math.max(1, Math.floor(followers.length * KEPT_FRACTION));
    this.followerLimit = { count, expiresAtMs: performance.now() + FOLLOWER_LIMIT_TTL_MS };
    const dropped = followers.slice(count);
    if (dropped.length === 0) return;
    this.options.logger.warn('dropping followers that the link can not carry', {
      kept: count,
      dropped: dropped.length,
      linkMbps: this.options.linkMbps,
    });
    dropped.forEach(({ socket, vmId }) => this.connections.close(socket, 'link full', { vmId }));
    this.linkShare.reset();
  }

  /** Whether the link carries one more follower, as far as is known. */
  private canAccept(): boolean {
    const limit = this.followerLimit;
    if (limit && performance.now() < limit.expiresAtMs) return this.followers.size < limit.count;
    return this.linkShare.computeWaitMs() < MAX_LINK_WAIT_MS;
  }

  /** Logs when this VM begins to relay, and when its last follower has left. */
  private recordFollowers(): void {
    const { logger, metrics, linkMbps } = this.options;
    const count = this.followers.size;
    metrics.setFollowers(count);
    if (count > 0 && this.relayingSinceMs === undefined) {
      this.relayingSinceMs = performance.now();
      this.sentBytes = 0;
      logger.info('first follower connected', { linkMbps });
    } else if (count === 0 && this.relayingSinceMs !== undefined) {
      const durationMs = Math.round(performance.now() - this.relayingSinceMs);
      this.relayingSinceMs = undefined;
      logger.info('last follower left', { durationMs, sentBytes: this.sentBytes, linkMbps });
    }
  }

  private findSenderAuth(first: FeedMessage): FrameAuth | undefined {
    if (first.kind !== 'hello' && first.kind !== 'framedTunnel') return undefined;
    const key = this.options.roster.findMeshKey(first.vmId);
    return key === undefined ? undefined : { key, nonce: first.nonce };
  }

  private handleMessage(socket: Socket, message: FeedMessage): void {
    const follower = this.followers.get(socket);
    if (follower) follower.receivedAtMs = performance.now();
    if (message.kind === 'hello') {
      if (follower) throw new FeedError('repeated first message');
      this.acceptFollower(socket, message);
    } else if (message.kind === 'framedTunnel') {
      if (follower) throw new FeedError('a follower asks for a tunnel');
      this.connections.release(socket);
      this.options.onTunnel(socket, message.upstreamId);
    } else if (message.kind === 'ask' && follower) {
      // The records before a position must be sent before the position.
      this.flush();
      const positions = this.options.listPositions();
      const response = { kind: 'positions', question: message.question, positions } as const;
      this.send(follower, [encodeFeedContent(response)]);
    } else if (message.kind === 'heartbeat' && follower) {
      follower.heartbeat = message.record;
    } else if (message.kind === 'streams' && follower) {
      this.options.onStreamRecord(message.record);
    } else if (message.kind === 'several') {
      message.messages.forEach((one) => this.handleMessage(socket, one));
    }
  }

  private acceptFollower(
    socket: Socket,
    { vmId, nonce }: Extract<FeedMessage, { kind: 'hello' }>,
  ): void {
    if (!this.canAccept()) {
      this.connections.close(socket, 'link full', { vmId });
      return;
    }
    this.followers.forEach((other) => {
      if (other.vmId === vmId) this.connections.close(other.socket, 'second connection', { vmId });
    });
    // The pending changes are part of the snapshots that the new follower gets.
    this.flush();
    this.followers.set(socket, {
      socket,
      vmId,
      writer: new FeedWriter({ key: this.options.key, nonce }),
      heartbeat: undefined,
      receivedAtMs: performance.now(),
      pendingStores: [...this.options.listStores()],
      scan: undefined,
    });
    this.recordFollowers();
    this.sendSnapshots();
  }

  /**
   * Sends the contents of block stores as fast as the share of the link allows: all stores to one
   * follower, then to the next. One that has much to read is left out for a while.
   */
  private sendSnapshots(): void {
    const waiting = [...this.followers.values()].filter(isWaiting);
    for (const follower of waiting) {
      while (isWaiting(follower) && follower.socket.writableLength < MAX_SNAPSHOT_BACKLOG_BYTES) {
        const waitMs = this.computeSnapshotWaitMs();
        if (waitMs > 0) {
          this.scheduleSnapshots(waitMs);
          return;
        }
        this.sendPart(follower);
      }
    }
    if (waiting.some(isWaiting)) this.scheduleSnapshots(UNSENT_WAIT_MS);
  }

  private scheduleSnapshots(delayMs: number): void {
    clearTimeout(this.snapshotTimer);
    this.snapshotTimer = setTimeout(() => this.sendSnapshots(), Math.ceil(delayMs));
  }

  private sendPart(follower: Follower): void {
    // A part tells the present, so no earlier changes may come behind its offset.
    this.flush();
    const scan = follower.scan ?? this.options.scanBlocks(follower.pendingStores.shift()!);
    const blocks = scan.nextPart();
    Object.assign(follower, { scan: blocks?.hasMore ? scan : undefined });
    if (blocks) this.send(follower, [encodeFeedContent({ kind: 'blocks', blocks })]);
  }

  /** Time until the next part may be sent, because of the link or of what others have not read. */
  private computeSnapshotWaitMs(): number {
    const isFull = this.unsent.heldBytes > this.options.memoryBytes / 2;
    return Math.max(this.linkShare.computeWaitMs(), isFull ? UNSENT_WAIT_MS : 0);
  }

  private send({ socket, writer, vmId }: Follower, contents: readonly Buffer[]): void {
    if (socket.writableLength > MAX_FOLLOWER_BACKLOG_BYTES) {
      this.connections.close(socket, 'slow follower', { vmId, unsent: socket.writableLength });
      return;
    }
    socket.cork();
    let bytes = 0;
    contents.forEach((content) => {
      const head = writer.encodeHead(content);
      bytes += head.length + content.length;
      this.unsent.add(content);
      socket.write(head);
      socket.write(content, () => this.unsent.release(content));
    });
    socket.uncork();
    this.sentBytes += bytes;
    this.linkShare.charge(bytes);
    this.options.metrics.countFeedBytes(bytes);
    if (this.unsent.heldBytes > this.options.memoryBytes) this.dropSlowest(bytes);
  }

  /** Closes the connection of the follower that has the most to read, if it is more than the last message. */
  private dropSlowest(lastBytes: number): void {
    const [slowest] = [...this.followers.values()]
      .filter(({ socket }) => !socket.destroyed)
      .sort((left, right) => right.socket.writableLength - left.socket.writableLength);
    if (!slowest || slowest.socket.writableLength <= lastBytes) return;
    const { socket, vmId } = slowest;
    this.connections.close(socket, 'slow follower', { vmId, unsent: socket.writableLength });
  }
}
