import { Agent } from 'node:http';
import type { ClientRequestArgs } from 'node:http';
import type { Duplex } from 'node:stream';
import { EventLoopBarrier } from '@goldcrestscale/runtime';
import { ConnectionError } from './connectionError.js';
import type { UpstreamLink, UpstreamSocket } from './upstreamLink.js';
import { UPSTREAM_CONNECT_TIMEOUT_MS } from '../constants.js';

/** Callbacks of the connection of an agent. */
export interface SingleConnectionEvents {
  /** The connection can't be used any more. */
  readonly onClose: () => void;
  /** The connection was reset, although the response on it may look complete. */
  readonly onReset: () => void;
  /** The connection is to carry no further exchange. */
  readonly onRetire: () => void;
}

/**
 * An agent whose requests use one connection. It connects only once, so that a lost connection is
 * never replaced silently.
 */
export class SingleConnectionAgent extends Agent {
  private socket: UpstreamSocket | undefined;

  private opening: Promise<void> | undefined;

  private isHandedOver = false;

  private isEstablished = false;

  private readonly inputBarrier = new EventLoopBarrier();

  /** Whether a request is being sent or answered. */
  isInUse = false;

  /** Called with the length of each read, before the HTTP parser handles it. */
  onRead: ((bytes: number) => void) | undefined;

  constructor(
    private readonly link: UpstreamLink,
    private readonly events: SingleConnectionEvents,
  ) {
    super({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 });
  }

  /**
   * Opens the connection; later calls return the same promise.
   *
   * @throws ConnectionError or the socket's error, if it is not established in time
   */
  open(): Promise<void> {
    this.opening ??= this.connect();
    return this.opening;
  }

  /** @returns undefined if the connection has been used up; the request then ends with an error */
  override createConnection(
    _options: ClientRequestArgs,
    callback?: (error: Error | null, stream: Duplex) => void,
  ): UpstreamSocket | undefined {
    if (this.socket && (this.isHandedOver || this.socket.destroyed)) {
      callback?.(new ConnectionError('the connection is closed'), this.socket);
      return undefined;
    }
    this.isHandedOver = true;
    // The request on the connection reports its errors.
    this.open().catch(() => undefined);
    return this.socket;
  }

  private async connect(): Promise<void> {
    const socket = this.link.connect(this.events.onRetire);
    this.socket = socket;
    const timer = setTimeout(() => {
      // After a pause of the process, the connection may be there and not have been noticed yet.
      void this.inputBarrier.run(() => {
        if (!this.isEstablished) socket.destroy(new ConnectionError('connect timed out'));
      });
    }, UPSTREAM_CONNECT_TIMEOUT_MS);
    socket.on('end', () => {
      // If data and a reset arrive together, Node emits a clean end, but the socket has no peer.
      if (socket.remoteAddress === undefined) this.events.onReset();
    });
    socket.once('close', () => {
      clearTimeout(timer);
      this.events.onClose();
    });
    // Between the opening and the first request; the close of the connection tells the same.
    socket.on('error', () => undefined);
    await this.link.waitUntilOpen(socket);
    this.isEstablished = true;
    clearTimeout(timer);
    // Data outside of an exchange belongs to no request, so what follows it can't be trusted either.
    socket.on('data', ({ length }: Buffer) => {
      this.link.recordRead();
      if (this.isInUse) this.onRead?.(length);
      else socket.destroy();
    });
  }

  /** Closes the connection; a request on it ends with an error. */
  closeConnection(): void {
    this.socket?.destroy();
    this.destroy();
  }

  /** Resets the connection; a request on it ends with an error. */
  resetConnection(): void {
    // A socket that is still connecting would be reset only once it is connected.
    if (!this.socket?.connecting) this.socket?.resetAndDestroy();
    this.closeConnection();
  }
}
