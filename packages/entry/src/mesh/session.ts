import type { RawData, WebSocket } from 'ws';
import { EventLoopBarrier } from '@goldcrestscale/runtime';
import type { PeerIdentity } from './authentication.js';
import {
  KEEP_ALIVE_INTERVAL_MS,
  MAX_SEND_BUFFER_BYTES,
  MAX_ERROR_TEXT_LENGTH,
  MAX_CONCURRENT_REQUESTS_PER_PEER,
  MAX_MESSAGE_BYTES,
} from './constants.js';
import { encodeFrame, parseFrame } from './frames.js';
import type { Frame, RequestFrame } from './frames.js';
import { MeshError, toMeshFailure } from './meshError.js';
import type { MeshFailure } from './meshError.js';
import type { MeshStats } from './meshStats.js';
import type { MessageContext } from './peerTransport.js';
import { PendingRequests } from './pendingRequests.js';

/** Options of a session. */
export interface SessionOptions {
  readonly peer: PeerIdentity;
  readonly stats: MeshStats;
  readonly handle: (type: string, payload: unknown, context: MessageContext) => Promise<unknown>;
  readonly onClosed: () => void;
}

const getFailure = (error: unknown): MeshFailure =>
  error instanceof MeshError ? error.failure : 'handler_failed';

const formatErrorText = (error: unknown): string =>
  (error instanceof Error ? error.message : String(error)).slice(0, MAX_ERROR_TEXT_LENGTH);

/** Authenticated connection to a peer. */
export class Session {
  readonly peer: PeerIdentity;

  /** Monotonic time of the last message in either direction, in milliseconds. */
  lastUsedAtMs = performance.now();

  private readonly pending = new PendingRequests();

  private readonly handlerControllers = new Map<number, AbortController>();

  private readonly closeController = new AbortController();

  private isAlive = true;

  private readonly inputBarrier = new EventLoopBarrier();

  private readonly keepAliveTimer = setInterval(() => {
    // After a pause of the process, a pong may be there and not have been read yet.
    void this.inputBarrier.run(() => this.checkKeepAlive());
  }, KEEP_ALIVE_INTERVAL_MS);

  constructor(
    private readonly socket: WebSocket,
    private readonly options: SessionOptions,
  ) {
    this.peer = options.peer;
    this.keepAliveTimer.unref();
    socket
      .on('message', (data) => this.receive(data))
      .on('pong', () => this.recordPong())
      .on('close', () => this.handleClose());
  }

  /** Sends a request and waits for its reply. */
  request(
    type: string,
    payload: unknown,
    signal: AbortSignal,
    timeoutMs: number,
  ): Promise<unknown> {
    return this.pending.add(
      signal,
      timeoutMs,
      (id) => this.write({ kind: 'request', id, type, timeoutMs, payload }),
      (id) => this.tryWrite({ kind: 'cancel', id }),
    );
  }

  /** Sends a one-way message; false if it was not sent. */
  send(type: string, payload: unknown): boolean {
    return this.tryWrite({ kind: 'oneWay', type, payload });
  }

  close(): void {
    this.socket.terminate();
    this.handleClose();
  }

  private checkKeepAlive(): void {
    if (this.closeController.signal.aborted) return;
    if (!this.isAlive) {
      this.close();
      return;
    }
    this.isAlive = false;
    this.socket.ping();
  }

  private recordPong(): void {
    this.isAlive = true;
  }

  private handleClose(): void {
    if (this.closeController.signal.aborted) return;
    this.closeController.abort();
    clearInterval(this.keepAliveTimer);
    this.handlerControllers.forEach((controller) => controller.abort());
    this.pending.failAll(new MeshError('connection lost', 'connection_lost'));
    this.options.onClosed();
  }

  private write(frame: Frame): void {
    const { stats } = this.options;
    const bytes = encodeFrame(frame);
    if (this.closeController.signal.aborted || this.socket.readyState !== this.socket.OPEN) {
      throw new MeshError('connection is closed', 'unreachable');
    }
    if (bytes.length > MAX_MESSAGE_BYTES) {
      stats.refusedSends += 1;
      throw new MeshError(`message of ${bytes.length} bytes is too large`, 'too_large');
    }
    if (this.socket.bufferedAmount + bytes.length > MAX_SEND_BUFFER_BYTES) {
      stats.refusedSends += 1;
      throw new MeshError('too many bytes are waiting for this peer', 'overloaded');
    }
    this.socket.send(bytes);
    this.lastUsedAtMs = performance.now();
    stats.messagesSent += 1;
    stats.bytesSent += bytes.length;
  }

  private tryWrite(frame: Frame): boolean {
    try {
      this.write(frame);
      return true;
    } catch {
      return false;
    }
  }

  private receive(data: RawData): void {
    const { stats } = this.options;
    const bytes = data as Buffer;
    this.isAlive = true;
    this.lastUsedAtMs = performance.now();
    stats.messagesReceived += 1;
    stats.bytesReceived += bytes.length;
    const frame = parseFrame(bytes);
    if (frame) this.dispatchFrame(frame);
    else stats.malformedMessages += 1;
  }

  private dispatchFrame(frame: Frame): void {
    switch (frame.kind) {
      case 'request':
        this.serveRequest(frame).catch(() => this.close());
        break;
      case 'reply':
        this.pending.complete(frame.id, frame.payload);
        break;
      case 'failure':
        this.pending.fail(frame.id, new MeshError(frame.text, toMeshFailure(frame.failure)));
        break;
      case 'oneWay':
        this.handle(frame.type, frame.payload, this.closeController.signal).catch(
          (error: unknown) => this.countFailure(error),
        );
        break;
      default:
        this.handlerControllers.get(frame.id)?.abort();
    }
  }

  private handle(type: string, payload: unknown, signal: AbortSignal): Promise<unknown> {
    return this.options.handle(type, payload, { from: this.peer, signal });
  }

  private async serveRequest(frame: RequestFrame): Promise<void> {
    const { id } = frame;
    try {
      const payload = await this.handleRequest(frame);
      this.write({ kind: 'reply', id, payload });
    } catch (error) {
      this.countFailure(error);
      this.tryWrite({
        kind: 'failure',
        id,
        failure: getFailure(error),
        text: formatErrorText(error),
      });
    } finally {
      this.handlerControllers.delete(id);
    }
  }

  private async handleRequest(frame: RequestFrame): Promise<unknown> {
    if (this.handlerControllers.size >= MAX_CONCURRENT_REQUESTS_PER_PEER) {
      throw new MeshError('too many requests of this peer are being handled', 'overloaded');
    }
    const controller = new AbortController();
    this.handlerControllers.set(frame.id, controller);
    const timer = setTimeout(() => controller.abort(), frame.timeoutMs);
    try {
      return await this.handle(frame.type, frame.payload, controller.signal);
    } finally {
      clearTimeout(timer);
    }
  }

  private countFailure(error: unknown): void {
    const failure = getFailure(error);
    if (failure === 'unknown_type') this.options.stats.unknownTypes += 1;
    if (failure === 'malformed') this.options.stats.malformedMessages += 1;
  }
}
