import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { CappedEjectionPolicy, FleetRateLimits, CrashQuarantine } from '@goldcrestscale/core';
import { CallerTimes, EventLoopBarrier } from '@goldcrestscale/runtime';
import type { FaultRecorder } from '../faultRecorder.js';
import type { CallerProtocol } from '../ports/index.js';

/** State that operators read and change. */
export interface OperatedState {
  readonly quarantine: CrashQuarantine;
  readonly rateLimits: FleetRateLimits;
  readonly ejection: CappedEjectionPolicy;
}

/** Dependencies of an auxiliary server. */
export interface AuxiliaryServerOptions {
  readonly protocol: CallerProtocol;
  readonly isReady: () => boolean;
  /** Undefined if the server does not serve the directory. */
  readonly listAddresses: ((zone: string | undefined) => readonly string[]) | undefined;
  readonly ttlMs: number;
  readonly renderMetrics: () => Promise<string>;
  /** Undefined if the server serves no operators. */
  readonly operated: OperatedState | undefined;
  readonly faults: FaultRecorder;
}

/** Time for a complete head, and for the body after it. */
const HEADERS_TIMEOUT_MS = 3_000;

/** Time after which a connection without requests is closed. */
const KEEP_ALIVE_TIMEOUT_MS = 5_000;

/** Maximum size of a request head. */
const MAX_HEADER_BYTES = 8_192;

const METRICS_PATH = '/metrics';

const QUARANTINE_PATH = '/quarantine';

const RATE_LIMITS_PATH = '/rate-limits';

const EJECTIONS_PATH = '/ejections';

const sendJson = (response: ServerResponse, content: unknown): void => {
  response.writeHead(200, { 'content-type': 'application/json' });
  response.end(JSON.stringify(content));
};

/** Lists the suspected and refused prompt parts, or lifts the refusal of the one in the path. */
const answerQuarantineRequest = (
  { method, url = '' }: IncomingMessage,
  response: ServerResponse,
  quarantine: CrashQuarantine,
): void => {
  const digest = url.slice(QUARANTINE_PATH.length + 1);
  if (method === 'DELETE' && digest !== '') {
    response.writeHead(quarantine.lift(digest) ? 204 : 404).end();
  } else if (method === 'GET' && url === QUARANTINE_PATH) {
    sendJson(response, quarantine.dump());
  } else response.writeHead(404).end();
};

const handleRequest = async (
  options: AuxiliaryServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> => {
  const { protocol } = options;
  const query = options.listAddresses && protocol.parseDirectoryQuery(request);
  if (query) {
    const addresses = options.listAddresses?.(query.zone) ?? [];
    if (addresses.length === 0) {
      // The caller asks another VM, which may know of one that can serve.
      response.writeHead(503).end();
      return;
    }
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(protocol.encodeDirectoryResponse(addresses, options.ttlMs));
  } else if (protocol.isReadinessCheck(request)) {
    response.writeHead(options.isReady() ? 200 : 503).end();
  } else if (request.url === METRICS_PATH) {
    response.end(await options.renderMetrics());
  } else if (options.operated && request.url?.startsWith(QUARANTINE_PATH)) {
    answerQuarantineRequest(request, response, options.operated.quarantine);
  } else if (options.operated && request.url === RATE_LIMITS_PATH) {
    sendJson(response, options.operated.rateLimits.dump());
  } else if (options.operated && request.url === EJECTIONS_PATH) {
    sendJson(response, options.operated.ejection.listEjected());
  } else {
    response.writeHead(404).end();
  }
};

/** Creates an HTTP server for readiness checks, metrics and, optionally, directory queries. */
export const createAuxiliaryServer = (options: AuxiliaryServerOptions): Server => {
  const limits = { keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, maxHeaderSize: MAX_HEADER_BYTES };
  const server = createServer(limits, (request, response) => {
    handleRequest(options, request, response).catch((cause: unknown) => {
      options.faults.record('auxiliary request', cause);
      if (response.headersSent) response.destroy();
      else response.writeHead(500).end();
    });
  });
  const times = { headMs: HEADERS_TIMEOUT_MS, bodyMs: HEADERS_TIMEOUT_MS };
  new CallerTimes(new EventLoopBarrier(), times).watch(server);
  return server;
};
