import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import { watchRequests } from '../connections/index.js';
import type { InputBarrier } from '../eventLoop/index.js';
import { closeIdleConnections } from './closeIdleConnections.js';

/** Time limits of what a caller sends. */
export interface CallerTimeLimits {
  /** Time for a head, from the accepted connection or from its first bytes. */
  readonly headMs: number;
  /** Time for the rest of a request after its head; undefined if others bound it. */
  readonly bodyMs?: number | undefined;
}

/** What is awaited from a caller. */
interface AwaitedPart {
  readonly sinceMs: number;
  /** Request whose body is read; undefined for a head. */
  readonly request?: IncomingMessage;
  /** When the response had been sent; undefined unless that was before the end of the request. */
  readonly answeredAtMs?: number;
  /** Bytes read before the head of an idle connection; its time begins with the first byte. */
  readonly idleBytes?: number;
  /** Whether the runtime bounds the idle time no more, because a body was read on after the response. */
  readonly isUnbounded?: boolean;
}

/** Interval at which connections are checked for heads and bodies that are late, in milliseconds. */
const CHECK_INTERVAL_MS = 500;

const REFUSAL = [
  'HTTP/1.1 408 Request Timeout',
  'connection: close',
  'content-length: 0',
  '',
  '',
].join('\r\n');

/**
 * Ends connections whose heads or bodies are late, or that are idle for too long. It replaces the time
 * limits of the runtime, whose timers run before the input of a pause of the process is read.
 */
export class CallerTimes {
  private readonly parts = new Map<Socket, AwaitedPart>();

  constructor(
    private readonly inputBarrier: InputBarrier,
    private limits: CallerTimeLimits,
  ) {}

  setLimits(limits: CallerTimeLimits): void {
    this.limits = limits;
  }

  /** Watches the connections of a server. */
  watch(server: Server): void {
    Object.assign(server, { headersTimeout: 0, requestTimeout: 0 });
    closeIdleConnections(server, this.inputBarrier);
    server.on('connection', (socket: Socket) => {
      this.parts.set(socket, { sinceMs: performance.now() });
      socket.once('close', () => this.parts.delete(socket));
    });
    server.on('request', (request: IncomingMessage) => {
      this.parts.set(request.socket, { sinceMs: performance.now(), request });
    });
    watchRequests(server, {
      onBusy: () => undefined,
      onIdle: (socket) => this.handleResponseEnd(socket),
    });
    server.once('listening', () => {
      const timer = setInterval(() => {
        void this.inputBarrier.run(() => this.check(server));
      }, CHECK_INTERVAL_MS);
      timer.unref();
      server.once('close', () => clearInterval(timer));
    });
  }

  /** Ends the limits of a connection that is no longer one of HTTP. */
  release(socket: Socket): void {
    this.parts.delete(socket);
  }

  private handleResponseEnd(socket: Socket): void {
    const part = this.parts.get(socket);
    if (part?.request && !part.request.complete) {
      this.parts.set(socket, { ...part, answeredAtMs: performance.now() });
    } else this.parts.set(socket, { sinceMs: performance.now(), idleBytes: socket.bytesRead });
  }

  private check({ keepAliveTimeout }: Server): void {
    const nowMs = performance.now();
    const { headMs, bodyMs = Infinity } = this.limits;
    for (const [socket, part] of this.parts) {
      const { sinceMs, request, answeredAtMs, idleBytes, isUnbounded } = part;
      const elapsedMs = nowMs - sinceMs;
      if (request?.complete) {
        if (answeredAtMs !== undefined)
          this.parts.set(socket, { sinceMs: nowMs, isUnbounded: true });
      } else if (request) {
        // Nobody waits for the rest of a request that has its response.
        const isAbandoned = nowMs - (answeredAtMs ?? nowMs) > keepAliveTimeout;
        if (elapsedMs > bodyMs || isAbandoned) socket.destroy();
      } else if (idleBytes !== undefined) {
        if (socket.bytesRead !== idleBytes) this.parts.set(socket, { sinceMs: nowMs });
      } else if (elapsedMs > (isUnbounded ? Math.max(headMs, keepAliveTimeout) : headMs)) {
        // The refusal is handed to the kernel at once, and a caller that reads nothing holds nothing.
        socket.end(REFUSAL);
        socket.destroy();
      }
    }
  }
}
