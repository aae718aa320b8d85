import { connect as connectSocket } from 'node:net';
import { Client } from 'undici';
import type { Dispatcher } from 'undici';
import { ConnectionError } from './connectionError.js';
import { CONNECT_TIMEOUT_MS, IDLE_CONNECTION_MS, IDLE_MARGIN_MS } from '../constants.js';

/** Longest head of an upstream's answer, in bytes. */
const MAX_HEADER_BYTES = 65_536;

/** Interval from which the kernel probes a connection that is silent, in milliseconds. */
const KEEP_ALIVE_PROBE_MS = 1_000;

type Connector = (
  options: { readonly hostname: string; readonly port: string },
  callback: (...result: [null, unknown] | [Error, null]) => void,
) => void;

/**
 * Creates a connector that connects once, so that a lost connection is never replaced in silence.
 * A reset is renamed: undici takes an answer without a length as whole when ECONNRESET ends it.
 */
const createConnector = (onReset: () => void): Connector => {
  let isUsed = false;
  return ({ hostname, port }, callback) => {
    if (isUsed) {
      callback(new ConnectionError('the connection has ended'), null);
      return;
    }
    isUsed = true;
    const socket = connectSocket({ host: hostname, port: Number(port), noDelay: true });
    socket.setKeepAlive(true, KEEP_ALIVE_PROBE_MS);
    const timer = setTimeout(() => {
      socket.destroy(new ConnectionError('the connection was not accepted in time'));
    }, CONNECT_TIMEOUT_MS);
    const fail = (cause: Error): void => {
      clearTimeout(timer);
      callback(new ConnectionError(cause.message), null);
    };
    socket.once('error', fail);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', fail);
      socket.on('end', () => {
        // Bytes and a reset that come together end as a clean end; the kernel then has no peer.
        if (socket.remoteAddress === undefined) onReset();
      });
      socket.on('error', (error: NodeJS.ErrnoException) => {
        Object.assign(error, { code: 'CONNECTION_LOST' });
      });
      callback(null, socket);
    });
  };
};

/** One connection to an upstream, for one request at a time. */
export class UpstreamConnection {
  private idleSinceMs = performance.now();

  private readonly client: Client;

  private open = true;

  private idleLimitMs = IDLE_CONNECTION_MS;

  private reset = false;

  constructor(address: string, onClose: () => void) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: 2 * IDLE_CONNECTION_MS,
      keepAliveMaxTimeout: 2 * IDLE_CONNECTION_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
      connect: createConnector(() => {
        this.reset = true;
      }) as never,
    });
    const noteEnd = (): void => {
      if (!this.open) return;
      this.open = false;
      onClose();
    };
    this.client.once('disconnect', () => {
      noteEnd();
      void this.client.destroy();
    });
    this.client.once('connectionError', noteEnd);
  }

  /** False once nothing can be sent on it any more. */
  get isOpen(): boolean {
    return this.open;
  }

  /** Whether a reset ended it, though its last answer may look whole. */
  get wasReset(): boolean {
    return this.reset;
  }

  /** Tells whether the upstream may have closed it for being idle. */
  get isStale(): boolean {
    return performance.now() - this.idleSinceMs > this.idleLimitMs;
  }

  /** Notes that its last answer is whole and it may carry another request. */
  noteIdle(): void {
    this.idleSinceMs = performance.now();
  }

  /** Takes the upstream's own limit for idle connections, in seconds. */
  noteKeepAlive(header: string | undefined): void {
    const seconds = Number(/timeout=(\d+)/i.exec(header ?? '')?.[1] ?? NaN);
    if (Number.isFinite(seconds)) {
      this.idleLimitMs = Math.min(IDLE_CONNECTION_MS, seconds * 1_000 - IDLE_MARGIN_MS);
    }
  }

  send(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.client.dispatch(options, handler);
  }

  close(): void {
    this.open = false;
    void this.client.destroy();
  }
}
