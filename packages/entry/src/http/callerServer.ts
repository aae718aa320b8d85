import { randomUUID } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from 'node:http';
import { createRefusal, isGoldcrestError, runChain, toId } from '@goldcrestscale/core';
import type { GoldcrestErrorInstance, RequestId } from '@goldcrestscale/core';
import { MAX_BODY_BYTES, REQUEST_TIMEOUT_MS } from '../constants.js';
import type { Exchange } from '../filters/exchange.js';
import type { Filter } from '../filters/filter.js';
import { createAnswerWriter } from './answerWriter.js';
import type { EntriesAnswer } from './entriesAnswer.js';
import { buildErrorBody, buildErrorHeaders } from './errorAnswer.js';
import { parseLine, parseTarget } from './parseTarget.js';
import { readBody } from './readBody.js';

/** What the callers' listener is built from. */
export interface CallerServerOptions {
  readonly filters: readonly Filter[];
  /** Refuses a caller by the head of its request, before the body is read. */
  checkHead(headers: IncomingHttpHeaders): void;
  /** Answers "which address do I use" for a prompt or session key. */
  answerEntries(affinityKey: string | undefined): EntriesAnswer;
}

const REQUEST_ID = /^[\w.:-]{1,128}$/;

const chooseRequestId = (request: IncomingMessage): RequestId => {
  const given = request.headers['x-request-id'];
  return toId<RequestId>(
    typeof given === 'string' && REQUEST_ID.test(given) ? given : randomUUID(),
  );
};

/** Refusals that may come before the body is read: the rest of it is not waited for. */
const UNREAD_CODES: ReadonlySet<string> = new Set(['body_too_large', 'unauthorized']);

const refusePath = (): GoldcrestErrorInstance =>
  createRefusal('There is nothing at this path.', { code: 'bad_request', status: 404 });

const sendRefusal = (
  response: ServerResponse,
  error: GoldcrestErrorInstance,
  requestId: RequestId,
): void => {
  response.writeHead(error.status, {
    ...buildErrorHeaders(error, error.verdict, requestId),
    ...(UNREAD_CODES.has(error.code) ? { connection: 'close' } : {}),
  });
  response.end(JSON.stringify(buildErrorBody(error, error.verdict, requestId)));
};

const createCallerSignal = (response: ServerResponse): AbortSignal => {
  const gone = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) gone.abort();
  });
  return gone.signal;
};

const buildExchange = async (
  request: IncomingMessage,
  response: ServerResponse,
  requestId: RequestId,
): Promise<Exchange> => {
  const receivedAtMs = Date.now();
  const body = await readBody(request, MAX_BODY_BYTES);
  const target = parseTarget(request.method ?? 'GET', request.url ?? '/', body);
  if (!target) throw refusePath();
  return {
    requestId,
    method: request.method ?? 'GET',
    headers: request.headers,
    body,
    target,
    answer: createAnswerWriter(response),
    signal: createCallerSignal(response),
    receivedAtMs,
    idempotent: true,
    assertSendable: () => undefined,
    verdict: 'not-run',
  };
};

const handleRequest = async (
  options: CallerServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> => {
  const requestId = chooseRequestId(request);
  const [path, query] = (request.url ?? '/').split('?', 2);
  if (path === '/v1/entries') {
    const key = new URLSearchParams(query).get('key') ?? undefined;
    const entries = options.answerEntries(key);
    response.writeHead(200, { 'content-type': 'application/json', 'x-request-id': requestId });
    response.end(JSON.stringify(entries));
    return;
  }
  try {
    if (!parseLine(request.method ?? 'GET', request.url ?? '/')) throw refusePath();
    options.checkHead(request.headers);
    const exchange = await buildExchange(request, response, requestId);
    await runChain(options.filters, exchange);
  } catch (cause) {
    if (isGoldcrestError(cause)) sendRefusal(response, cause, requestId);
    else response.destroy();
  }
};

/** Creates the listener that callers use. */
export const createCallerServer = (options: CallerServerOptions): Server => {
  const server = createServer((request, response) => {
    void handleRequest(options, request, response);
  });
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  return server;
};
