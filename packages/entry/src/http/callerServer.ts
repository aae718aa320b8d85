import { randomUUID } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from 'node:http';
import { createRefusal, isGoldcrestError, runChain, toId } from '@goldcrestscale/core';
import type { GoldcrestErrorInstance, RequestId } from '@goldcrestscale/core';
import {
  ByteReservation,
  CallerTimes,
  ConnectionArrivals,
  EventLoopBarrier,
  readRequestBody,
  trackCaller,
} from '@goldcrestscale/runtime';
import type { ByteBudget, RequestArrival } from '@goldcrestscale/runtime';
import { MAX_REQUEST_BODY_BYTES, REQUEST_TIMEOUT_MS } from '../constants.js';
import type { Exchange } from '../filters/exchange.js';
import type { Filter } from '../filters/filter.js';
import { createResponseWriter } from './responseWriter.js';
import type { EntriesResponse } from './entriesResponse.js';
import { buildErrorBody, buildErrorHeaders } from './errorResponse.js';
import { parseRequestLine, parseTarget } from './parseTarget.js';

/** Dependencies of the HTTP server for callers. */
export interface CallerServerOptions {
  readonly filters: readonly Filter[];
  /** Memory for the bodies of requests. */
  readonly budget: ByteBudget;
  /** Checks the request headers before the body is read; throws to refuse the caller. */
  checkHeaders(headers: IncomingHttpHeaders): void;
  /** Returns the earliest monotonic time at which input that is being read now may have arrived. */
  readonly estimateArrivalMs: () => number;
  /** Builds the `/v1/entries` response for a prompt or session key. */
  buildEntries(affinityKey: string | undefined): EntriesResponse;
  /** Called with an unexpected error, which ended one request. */
  onFault(cause: unknown): void;
}

/** Time for a whole body, also for one that is refused at the timeout and then read on and discarded. */
const MAX_DISCARDED_BODY_MS = 2 * REQUEST_TIMEOUT_MS;

const REQUEST_ID_PATTERN = /^[\w.:-]{1,128}$/;

const chooseRequestId = (request: IncomingMessage): RequestId => {
  const callerRequestId = request.headers['x-request-id'];
  return toId<RequestId>(
    typeof callerRequestId === 'string' && REQUEST_ID_PATTERN.test(callerRequestId)
      ? callerRequestId
      : randomUUID(),
  );
};

/** Refusals that are sent before the body is read; the connection is then closed. */
const EARLY_REFUSAL_CODES: ReadonlySet<string> = new Set(['unauthorized']);

const createNoRouteRefusal = (): GoldcrestErrorInstance =>
  createRefusal('There is nothing at this path.', { code: 'bad_request', status: 404 });

const createCallerLeftRefusal = (): GoldcrestErrorInstance =>
  createRefusal('The caller left.', { code: 'caller_left', status: 503 });

const createSlowBodyRefusal = (): GoldcrestErrorInstance =>
  createRefusal('The body did not arrive in time.', { code: 'deadline', status: 408 });

const sendRefusal = (
  response: ServerResponse,
  error: GoldcrestErrorInstance,
  requestId: RequestId,
): void => {
  response.writeHead(error.status, {
    ...buildErrorHeaders(error, error.verdict, requestId),
    ...(EARLY_REFUSAL_CODES.has(error.code) ? { connection: 'close' } : {}),
  });
  response.end(JSON.stringify(buildErrorBody(error, error.verdict, requestId)));
};

/** What is known about a request when its head has been read. */
interface ReadRequest extends RequestArrival {
  readonly requestId: RequestId;
  /** Aborts when the caller leaves. */
  readonly signal: AbortSignal;
  readonly reservation: ByteReservation;
}

const buildExchange = async (
  request: IncomingMessage,
  response: ServerResponse,
  { requestId, signal, reservation, receivedAtMs, readAtMs }: ReadRequest,
): Promise<Exchange> => {
  const body = await readRequestBody(request, {
    maxBytes: MAX_REQUEST_BODY_BYTES,
    reservation,
    deadlineAtMs: readAtMs + REQUEST_TIMEOUT_MS,
    createTimeoutError: createSlowBodyRefusal,
    createLeftError: createCallerLeftRefusal,
  });
  const target = parseTarget(request.method ?? 'GET', request.url ?? '/', body);
  if (!target) throw createNoRouteRefusal();
  return {
    requestId,
    method: request.method ?? 'GET',
    headers: request.headers,
    body,
    target,
    response: createResponseWriter(response),
    signal,
    receivedAtMs,
    readAtMs,
    isIdempotent: true,
    assertSendable() {
      // A filter may have detached the exchange from its caller, but it must not be begun without it.
      if (signal.aborted) throw createCallerLeftRefusal();
    },
    verdict: 'not-run',
  };
};

const handleRequest = async (
  options: CallerServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
  { signal, reservation, receivedAtMs }: Omit<ReadRequest, 'requestId' | 'readAtMs'>,
): Promise<void> => {
  const requestId = chooseRequestId(request);
  const arrival = { receivedAtMs, readAtMs: performance.now() };
  const [path, query] = (request.url ?? '/').split('?', 2);
  if (path === '/v1/entries') {
    const key = new URLSearchParams(query).get('key') ?? undefined;
    const entries = options.buildEntries(key);
    response.writeHead(200, { 'content-type': 'application/json', 'x-request-id': requestId });
    response.end(JSON.stringify(entries));
    return;
  }
  try {
    if (!parseRequestLine(request.method ?? 'GET', request.url ?? '/'))
      throw createNoRouteRefusal();
    options.checkHeaders(request.headers);
    const exchange = await buildExchange(request, response, {
      requestId,
      signal,
      reservation,
      ...arrival,
    });
    await runChain(options.filters, exchange);
  } catch (cause) {
    if (!isGoldcrestError(cause)) throw cause;
    sendRefusal(response, cause, requestId);
  }
};

/** Creates the HTTP server for callers. */
export const createCallerServer = (options: CallerServerOptions): Server => {
  const arrivals = new ConnectionArrivals({ estimateInputMs: options.estimateArrivalMs });
  const server = createServer((request, response) => {
    const reservation = new ByteReservation(options.budget);
    let finishCaller = (): void => undefined;
    const callerOver = new Promise<void>((resolve) => {
      finishCaller = resolve;
    });
    const signal = trackCaller(request, response, finishCaller);
    const receivedAtMs = arrivals.estimateRequestMs(request.socket);
    handleRequest(options, request, response, { signal, reservation, receivedAtMs })
      .catch((cause: unknown) => {
        options.onFault(cause);
        response.destroy();
      })
      .then(() => callerOver)
      .finally(() => reservation.release());
  });
  arrivals.watch(server);
  new CallerTimes(new EventLoopBarrier(), {
    headMs: REQUEST_TIMEOUT_MS,
    bodyMs: MAX_DISCARDED_BODY_MS,
  }).watch(server);
  return server;
};
