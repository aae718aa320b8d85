import type { Socket } from 'node:net';
import type { Logger } from '@goldcrestscale/runtime';
import type { GatewayMetrics } from '../metrics.js';
import { RequestLog } from '../requestLog.js';
import type { FrameAuth } from './feedFrame.js';
import type { FeedMessage } from './feedMessage.js';
import { FeedReader } from './feedReader.js';

/** Why this VM closed a connection at its port of the mesh. */
export type MeshClosingReason = 'invalid data' | 'slow follower' | 'link full';

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
  /** Finds the key and nonce of a sender from its first message. */
  readonly findSenderAuth: (first: FeedMessage) => FrameAuth | undefined;
  /** Called with each authenticated message. */
  readonly onMessage: (socket: Socket, message: FeedMessage) => void;
  readonly onClose: (socket: Socket) => void;
}

/** The connections at this VM's port of the mesh, of followers and of strangers. */
export class MeshConnections {
  private readonly readers = new Map<Socket, FeedReader>();

  private readonly log: RequestLog;

  constructor(private readonly options: MeshConnectionsOptions) {
    this.log = new RequestLog(options.logger);
  }

  accept(socket: Socket): void {
    const { findSenderAuth, onMessage, onClose } = this.options;
    socket.setNoDelay(true);
    const reader = new FeedReader(findSenderAuth);
    this.readers.set(socket, reader);
    this.recordCount();
    socket.on('data', (chunk) => {
      try {
        reader.push(chunk).forEach((message) => onMessage(socket, message));
      } catch (cause) {
        this.close(socket, 'invalid data', { error: String(cause) });
      }
    });
    socket.on('error', (error) => {
      this.log.log('mesh connection failed', { error: String(error) });
    });
    socket.on('close', () => {
      this.readers.delete(socket);
      this.recordCount();
      onClose(socket);
    });
  }

  /** Closes a connection at once, and what it has not sent is lost. */
  close(
    socket: Socket,
    reason: MeshClosingReason,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    this.options.metrics.countMeshClosing(reason);
    const from = `${socket.remoteAddress ?? ''}:${socket.remotePort ?? ''}`;
    this.log.log('closing mesh connection', { reason, from, ...fields });
    socket.resetAndDestroy();
  }

  /** Looks at the connections at intervals until the signal aborts, which closes them. */
  start(signal: AbortSignal): void {
    const timer = setInterval(() => this.sweep(), SWEEP_INTERVAL_MS);
    signal.addEventListener('abort', () => {
      clearInterval(timer);
      this.readers.forEach((_reader, socket) => socket.destroy());
    });
  }

  private sweep(): void {
    const { metrics } = this.options;
    const [sockets, readers] = [[...this.readers.keys()], [...this.readers.values()]];
    const unsent = sockets.reduce((sum, { writableLength }) => sum + writableLength, 0);
    metrics.setMeshHeldBytes('unsent', unsent);
    const received = readers.reduce((sum, { heldBytes }) => sum + heldBytes, 0);
    metrics.setMeshHeldBytes('received', received);
  }

  private recordCount(): void {
    this.options.metrics.setMeshConnections(this.readers.size);
  }
}
