import type { Socket } from 'node:net';
import { ByteBudget } from '@goldcrestscale/runtime';
import type { Logger } from '@goldcrestscale/runtime';
import type { GatewayMetrics } from '../metrics.js';
import { RequestLog } from '../requestLog.js';
import type { FrameAuth } from './feedFrame.js';
import type { FeedMessage } from './feedMessage.js';
import { FeedReader } from './feedReader.js';

/** Why this VM closed a connection at its port of the mesh. */
export type MeshClosingReason =
  | 'invalid data'
  | 'no first message'
  | 'too many unauthenticated'
  | 'incomplete message'
  | 'silent follower'
  | 'second connection'
  | 'slow follower'
  | 'link full';

/** Maximum size of a message of a follower; the largest lists the streams that it has begun. */
export const MAX_FOLLOWER_MESSAGE_BYTES = 1024 * 1024;

/** Maximum number of connections without a first message; more than followers that connect at once. */
export const MAX_UNAUTHENTICATED = 256;

/** Time within which the first message of a connection must have come, in milliseconds. */
export const FIRST_MESSAGE_TIMEOUT_MS = 1_000;

/** Time within which a message that has begun must have come, in milliseconds. */
export const MESSAGE_TIMEOUT_MS = 5_000;

/** Time without data from a follower after which its connection is closed; it asks more often. */
export const FOLLOWER_IDLE_TIMEOUT_MS = 10_000;

/** Time within which a follower must read some of what it was sent, in milliseconds. */
export const READ_TIMEOUT_MS = 5_000;

/** Interval at which the connections are looked at, in milliseconds. */
const SWEEP_INTERVAL_MS = 500;

/** Metrics of the connections. */
export type MeshConnectionMetrics = Pick<
  GatewayMetrics,
  'setMeshConnections' | 'countMeshClosing' | 'setMeshHeldBytes'
>;

/** Dependencies and callbacks of the connections. */
export interface MeshConnectionsOptions {
  readonly logger: Logger;
  readonly metrics: MeshConnectionMetrics;
  /** Memory for messages in part of all connections. */
  readonly memoryBytes: number;
  readonly getUnsentBytes: () => number;
  /** Finds the key and nonce of a sender from its first message. */
  readonly findSenderAuth: (first: FeedMessage) => FrameAuth | undefined;
  /** Called with each authenticated message. */
  readonly onMessage: (socket: Socket, message: FeedMessage) => void;
  readonly onClose: (socket: Socket) => void;
}

/** What a connection had sent at a time. */
interface SendProgress {
  readonly bytes: number;
  readonly atMs: number;
}

interface MeshConnection {
  readonly socket: Socket;
  readonly reader: FeedReader;
  readonly openedAtMs: number;
}

/** The connections at this VM's port of the mesh, of followers and unauthenticated. */
export class MeshConnections {
  private readonly connections = new Map<Socket, MeshConnection>();

  /** Connections without a first message, the oldest first. */
  private readonly unauthenticated = new Set<MeshConnection>();

  /** When each connection with unsent bytes last sent some. */
  private readonly progress = new WeakMap<Socket, SendProgress>();

  private readonly budget: ByteBudget;

  private readonly log: RequestLog;

  private sweptAtMs = performance.now();

  constructor(private readonly options: MeshConnectionsOptions) {
    this.log = new RequestLog(options.logger);
    this.budget = new ByteBudget(options.memoryBytes);
  }

  accept(socket: Socket): void {
    socket.setNoDelay(true);
    const connection = this.add(socket);
    socket.on('data', (chunk) => {
      try {
        this.receive(connection, chunk);
      } catch (cause) {
        this.close(socket, 'invalid data', { error: String(cause) });
      }
    });
    socket.on('error', (error) => {
      this.log.log('mesh connection failed', { error: String(error) });
    });
    socket.on('close', () => {
      this.removeConnection(socket);
      this.options.onClose(socket);
    });
  }

  /** Gives a connection up to another owner. */
  release(socket: Socket): void {
    ['data', 'error', 'close'].forEach((event) => socket.removeAllListeners(event));
    this.removeConnection(socket);
  }

  private removeConnection(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (!connection) return;
    connection.reader.release();
    this.connections.delete(socket);
    this.unauthenticated.delete(connection);
    this.recordCount();
  }

  /** Closes a connection at once, and what it has not sent is lost. */
  close(
    socket: Socket,
    reason: MeshClosingReason,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    if (socket.destroyed) return;
    this.options.metrics.countMeshClosing(reason);
    const from = `${socket.remoteAddress ?? ''}:${socket.remotePort ?? ''}`;
    this.log.log('closing mesh connection', { reason, from, ...fields });
    socket.resetAndDestroy();
  }

  /** Looks at the connections at intervals until the signal aborts, which closes them. */
  start(signal: AbortSignal): void {
    this.sweptAtMs = performance.now();
    const timer = setInterval(() => this.sweep(), SWEEP_INTERVAL_MS);
    signal.addEventListener('abort', () => {
      clearInterval(timer);
      this.connections.forEach((_connection, socket) => socket.destroy());
    });
  }

  private add(socket: Socket): MeshConnection {
    const reader = new FeedReader(this.options.findSenderAuth, {
      maxMessageBytes: MAX_FOLLOWER_MESSAGE_BYTES,
      budget: this.budget,
    });
    const connection = { socket, reader, openedAtMs: performance.now() };
    this.connections.set(socket, connection);
    this.unauthenticated.add(connection);
    this.recordCount();
    if (this.unauthenticated.size > MAX_UNAUTHENTICATED) {
      const [oldest] = this.unauthenticated;
      this.unauthenticated.delete(oldest!);
      this.close(oldest!.socket, 'too many unauthenticated');
    }
    return connection;
  }

  private receive(connection: MeshConnection, chunk: Buffer): void {
    const { socket, reader } = connection;
    if (socket.destroyed) return;
    reader.push(chunk).forEach((message) => {
      this.unauthenticated.delete(connection);
      this.options.onMessage(socket, message);
    });
  }

  private sweep(): void {
    const nowMs = performance.now();
    const isAfterPause = nowMs - this.sweptAtMs > 2 * SWEEP_INTERVAL_MS;
    this.sweptAtMs = nowMs;
    const { metrics } = this.options;
    metrics.setMeshHeldBytes('received', this.budget.heldBytes);
    metrics.setMeshHeldBytes('unsent', this.options.getUnsentBytes());
    // After a pause, what was sent in time may still wait to be read.
    if (isAfterPause) return;
    this.connections.forEach((connection) => {
      const reason = this.findExpiry(connection, nowMs);
      if (reason) this.close(connection.socket, reason);
    });
  }

  private isStalled(socket: Socket, nowMs: number): boolean {
    if (socket.writableLength === 0) {
      this.progress.delete(socket);
      return false;
    }
    const bytes = socket.bytesWritten - socket.writableLength;
    const last = this.progress.get(socket);
    if (last?.bytes === bytes) return nowMs - last.atMs > READ_TIMEOUT_MS;
    this.progress.set(socket, { bytes, atMs: nowMs });
    return false;
  }

  private findExpiry(connection: MeshConnection, nowMs: number): MeshClosingReason | undefined {
    const { socket, openedAtMs, reader } = connection;
    if (this.unauthenticated.has(connection)) {
      return nowMs - openedAtMs > FIRST_MESSAGE_TIMEOUT_MS ? 'no first message' : undefined;
    }
    if (this.isStalled(socket, nowMs)) return 'slow follower';
    if (nowMs - (reader.partStartedAtMs ?? nowMs) > MESSAGE_TIMEOUT_MS) return 'incomplete message';
    return nowMs - reader.receivedAtMs > FOLLOWER_IDLE_TIMEOUT_MS ? 'silent follower' : undefined;
  }

  private recordCount(): void {
    this.options.metrics.setMeshConnections(this.connections.size);
  }
}
