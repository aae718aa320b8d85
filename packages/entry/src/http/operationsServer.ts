import { createHash, timingSafeEqual } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Logger } from '@goldcrestscale/runtime';

/** What the operators' listener is built from. */
export interface OperationsServerOptions {
  /** Key that `/metrics` and `/state` ask for. */
  readonly key: string;
  readonly logger: Logger;
  isReady(): boolean;
  dumpState(): unknown;
  renderMetrics(): Promise<string>;
  /** Called for every request with a wrong key. */
  onWrongKey(): void;
}

const OK = 200;
const UNAUTHORIZED = 401;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

const hash = (value: string): Buffer => createHash('sha256').update(value).digest();

const isAllowed = (request: IncomingMessage, key: string): boolean => {
  const given = (request.headers.authorization ?? '').replace(/^Bearer +/i, '');
  return timingSafeEqual(hash(given), hash(key));
};

const sendJson = (response: ServerResponse, status: number, value: unknown): void => {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
};

const answerProtected = async (
  options: OperationsServerOptions,
  path: string,
  response: ServerResponse,
): Promise<void> => {
  if (path === '/state') {
    sendJson(response, 200, options.dumpState());
    return;
  }
  response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
  response.end(await options.renderMetrics());
};

const handleRequest = async (
  options: OperationsServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> => {
  const path = (request.url ?? '/').split('?')[0] ?? '/';
  if (path === '/healthz') {
    sendJson(response, OK, { status: 'ok' });
  } else if (path === '/readyz') {
    const ready = options.isReady();
    sendJson(response, ready ? OK : UNAVAILABLE, { ready });
  } else if (path !== '/state' && path !== '/metrics') {
    sendJson(response, NOT_FOUND, {});
  } else if (isAllowed(request, options.key)) {
    await answerProtected(options, path, response);
  } else {
    options.onWrongKey();
    options.logger.warn('wrong operations key', { peer: request.socket.remoteAddress });
    sendJson(response, UNAUTHORIZED, {});
  }
};

/** Creates the listener that operators use. */
export const createOperationsServer = (options: OperationsServerOptions): Server =>
  createServer((request, response) => {
    void handleRequest(options, request, response).catch(() => response.destroy());
  });
