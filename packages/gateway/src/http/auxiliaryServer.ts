import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { CappedEjectionPolicy, FleetRateLimits, CrashQuarantine } from '@goldcrestscale/core';
import { CallerTimes, EventLoopBarrier, trackCaller } from '@goldcrestscale/runtime';
import type { FaultRecorder } from '../faultRecorder.js';
import type { CallerProtocol } from '../ports/index.js';
import { getConnectionOrder } from './connectionOrder.js';
import { RequestIntake } from './requestIntake.js';

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
  /** Called with each connection that is closed because of what its client sent or did not read. */
  readonly onClose: (reason: 'head-memory' | 'pipelined' | 'unread-response') => void;
}

/** Time for a complete head, and for the body after it. */
const HEADERS_TIMEOUT_MS = 3_000;

/** Time after which a connection without requests is closed. */
const KEEP_ALIVE_TIMEOUT_MS = 5_000;

/** Maximum size of a request head. */
const MAX_HEADER_BYTES = 8_192;

/** Fraction of the heap that heads may take. */
const HEAD_HEAP_FRACTION = 0.05;

/** Maximum number of requests of one connection that wait for their responses. */
const MAX_OPEN_REQUESTS = 16;

/** Maximum number of large responses, of metrics and dumps, that have not been read. */
const MAX_LARGE_RESPONSES = 4;

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

/** Answers with metrics or a dump, unless too many such responses have not been read. */
const answerLarge = async (
  response: ServerResponse,
  openLarge: Set<ServerResponse>,
  answer: () => unknown,
): Promise<void> => {
  if (openLarge.size >= MAX_LARGE_RESPONSES) {
    response.writeHead(503).end();
    return;
  }
  openLarge.add(response);
  await answer();
};

const handleRequest = async (
  options: AuxiliaryServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
  openLarge: Set<ServerResponse>,
): Promise<void> => {
  const { protocol, operated } = options;
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
    await answerLarge(response, openLarge, async () => {
      response.end(await options.renderMetrics());
    });
  } else if (operated && request.url?.startsWith(QUARANTINE_PATH)) {
    await answerLarge(response, openLarge, () =>
      answerQuarantineRequest(request, response, operated.quarantine),
    );
  } else if (operated && request.url === RATE_LIMITS_PATH) {
    await answerLarge(response, openLarge, () => sendJson(response, operated.rateLimits.dump()));
  } else if (operated && request.url === EJECTIONS_PATH) {
    await answerLarge(response, openLarge, () =>
      sendJson(response, operated.ejection.listEjected()),
    );
  } else {
    response.writeHead(404).end();
  }
};

/** Creates an HTTP server for readiness checks, metrics and, optionally, directory queries. */
export const createAuxiliaryServer = (options: AuxiliaryServerOptions): Server => {
  const limits = { keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, maxHeaderSize: MAX_HEADER_BYTES };
  const server = createServer(limits);
  const openLarge = new Set<ServerResponse>();
  const intake = new RequestIntake({
    headHeapFraction: HEAD_HEAP_FRACTION,
    maxHeadBytes: MAX_HEADER_BYTES,
    maxOpenRequests: MAX_OPEN_REQUESTS,
    onHeadDropped: () => options.onClose('head-memory'),
    onTooManyPipelined: () => options.onClose('pipelined'),
  });
  intake.watch(server);
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    const taken = intake.tryTake(request);
    if (!taken) return;
    request.resume();
    const { releaseHead } = taken;
    const order = getConnectionOrder(request.socket);
    trackCaller(request, response, () => {
      order.remove();
      openLarge.delete(response);
      releaseHead();
    });
    handleRequest(options, request, response, openLarge)
      .catch((cause: unknown) => {
        options.faults.record('auxiliary request', cause);
        if (response.headersSent) response.destroy();
        else response.writeHead(500).end();
      })
      .finally(() => {
        if (response.writableFinished) return;
        response.setTimeout(KEEP_ALIVE_TIMEOUT_MS, () => {
          options.onClose('unread-response');
          response.destroy();
        });
      });
  });
  const times = { headMs: HEADERS_TIMEOUT_MS, bodyMs: HEADERS_TIMEOUT_MS };
  new CallerTimes(new EventLoopBarrier(), times).watch(server);
  return server;
};
