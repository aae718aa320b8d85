import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { runChain } from '@goldcrestscale/core';
import type { CallerLimits } from '@goldcrestscale/core';
import type { GatewayExchange } from '../filters/exchange.js';
import type { GatewayFilter } from '../filters/gatewayFilter.js';
import type { CallerProtocol } from '../ports/index.js';
import { CallerResponse } from './callerAnswer.js';

/** What the callers' listener is built from. */
export interface GatewayServerOptions {
  readonly protocol: CallerProtocol;
  readonly filters: readonly GatewayFilter[];
  /** Whether answers tell callers to use other connections. */
  readonly isLeaving: () => boolean;
}

/** The callers' listener. */
export interface GatewayServer {
  readonly server: Server;
  /** Requests that have not been answered. */
  readonly countOpen: () => number;
  readonly applyLimits: (limits: CallerLimits) => void;
}

/** Longest request head, in bytes. */
const MAX_HEADER_BYTES = 65_536;

/** Time beyond a caller's idle limit for which its connection is kept, in milliseconds. */
const IDLE_EXTRA_MS = 1_000;

const IDLE_DEFAULT_MS = 15_000;

const buildExchange = (
  request: IncomingMessage,
  response: ServerResponse,
  options: GatewayServerOptions,
): GatewayExchange => {
  const gone = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) gone.abort();
  });
  return {
    request,
    method: request.method ?? 'GET',
    host: request.headers.host ?? '',
    target: request.url ?? '/',
    head: options.protocol.parseHead(request),
    response: new CallerResponse(response, options.isLeaving),
    signal: gone.signal,
    receivedAtMs: performance.now(),
    body: Buffer.alloc(0),
    deadlineAtMs: Infinity,
    verdict: 'not-run',
    attempts: [],
  };
};

/** Creates the listener that callers use. */
export const createGatewayServer = (options: GatewayServerOptions): GatewayServer => {
  let open = 0;
  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, noDelay: true });
  server.keepAliveTimeout = IDLE_DEFAULT_MS + IDLE_EXTRA_MS;
  server.requestTimeout = 0;
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    open += 1;
    response.once('close', () => {
      open -= 1;
    });
    // The guard filter answers every failure of the chain.
    void runChain(options.filters, buildExchange(request, response, options)).finally(() =>
      request.resume(),
    );
  });
  return {
    server,
    countOpen: () => open,
    applyLimits({ headerTimeoutMs, idleTimeoutMs }) {
      server.keepAliveTimeout = idleTimeoutMs + IDLE_EXTRA_MS;
      server.headersTimeout = headerTimeoutMs + IDLE_EXTRA_MS;
    },
  };
};
