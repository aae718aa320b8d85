import { connect as connectSocket } from 'node:net';
import { Client } from 'undici';
import type { Dispatcher } from 'undici';
import { ConnectionError } from './connectionError.js';
import {
  UPSTREAM_CONNECT_TIMEOUT_MS,
  KEEP_ALIVE_MARGIN_MS,
  MAX_CONNECTION_IDLE_MS,
} from '../constants.js';

/** Maximum size of an upstream's response head. */
const MAX_HEADER_BYTES = 65_536;

/** Idle time after which the kernel sends TCP keep-alive probes. */
const KEEP_ALIVE_PROBE_MS = 1_000;

type Connector = (
  options: { readonly hostname: string; readonly port: string },
  callback: (...result: [null, unknown] | [Error, null]) => void,
) => void;

/**
 * Creates a connector that connects only once, so that undici can't silently replace a lost
 * connection. It also changes the error code of resets, because undici treats a response without a
 * content length as complete when ECONNRESET ends it.
 */
const createConnector = (onReset: () => void): Connector => {
  let isUsed = false;
  return ({ hostname, port }, callback) => {
    if (isUsed) {
      callback(new ConnectionError('the connection is closed'), null);
      return;
    }
    isUsed = true;
    const socket = connectSocket({ host: hostname, port: Number(port), noDelay: true });
    socket.setKeepAlive(true, KEEP_ALIVE_PROBE_MS);
    const timer = setTimeout(() => {
      socket.destroy(new ConnectionError('connect timed out'));
    }, UPSTREAM_CONNECT_TIMEOUT_MS);
    const fail = (cause: Error): void => {
      clearTimeout(timer);
      callback(new ConnectionError(cause.message), null);
    };
    socket.once('error', fail);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', fail);
      socket.on('end', () => {
        // If data and a reset arrive together, Node emits a clean end, but the socket has no peer.
        if (socket.remoteAddress === undefined) onReset();
      });
      socket.on('error', (error: NodeJS.ErrnoException) => {
        Object.assign(error, { code: 'CONNECTION_LOST' });
      });
      callback(null, socket);
    });
  };
};

/** A connection to an upstream that carries one request at a time. */
export class UpstreamConnection {
  private idleSinceMs = performance.now();

  private readonly client: Client;

  private open = true;

  private idleLimitMs = MAX_CONNECTION_IDLE_MS;

  private hasBeenReset = false;

  constructor(address: string, onClose: () => void) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: 2 * MAX_CONNECTION_IDLE_MS,
      keepAliveMaxTimeout: 2 * MAX_CONNECTION_IDLE_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
      connect: createConnector(() => {
        this.hasBeenReset = true;
      }) as never,
    });
    const markClosed = (): void => {
      if (!this.open) return;
      this.open = false;
      onClose();
    };
    this.client.once('disconnect', () => {
      markClosed();
      void this.client.destroy();
    });
    this.client.once('connectionError', markClosed);
  }

  /** Whether requests can still be sent on it. */
  get isOpen(): boolean {
    return this.open;
  }

  /** Whether it was reset, although the last response may look complete. */
  get wasReset(): boolean {
    return this.hasBeenReset;
  }

  /** Whether it has been idle for so long that the upstream may have closed it. */
  get isStale(): boolean {
    return performance.now() - this.idleSinceMs > this.idleLimitMs;
  }

  /** Restarts the idle time after a complete response. */
  markIdle(): void {
    this.idleSinceMs = performance.now();
  }

  /** Applies the idle timeout of the upstream's keep-alive header, which is in seconds. */
  applyKeepAlive(header: string | undefined): void {
    const seconds = Number(/timeout=(\d+)/i.exec(header ?? '')?.[1] ?? NaN);
    if (Number.isFinite(seconds)) {
      this.idleLimitMs = Math.min(MAX_CONNECTION_IDLE_MS, seconds * 1_000 - KEEP_ALIVE_MARGIN_MS);
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
