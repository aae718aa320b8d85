import { createHash, timingSafeEqual } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Logger } from '@goldcrestscale/runtime';

/** Dependencies of the operations server. */
export interface OperationsServerOptions {
  /** Key that `/metrics` and `/state` require. */
  readonly key: string;
  readonly logger: Logger;
  isReady(): boolean;
  dumpState(): unknown;
  renderMetrics(): Promise<string>;
  /** Called for each request with an invalid key. */
  onInvalidKey(): void;
}

const OK_STATUS = 200;
const UNAUTHORIZED_STATUS = 401;
const NOT_FOUND_STATUS = 404;
const UNAVAILABLE_STATUS = 503;

const hashKey = (value: string): Buffer => createHash('sha256').update(value).digest();

const isAuthorized = (request: IncomingMessage, key: string): boolean => {
  const presentedKey = (request.headers.authorization ?? '').replace(/^Bearer +/i, '');
  return timingSafeEqual(hashKey(presentedKey), hashKey(key));
};

const sendJson = (response: ServerResponse, status: number, value: unknown): void => {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
};

const handleAuthorizedRequest = async (
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
    sendJson(response, OK_STATUS, { status: 'ok' });
  } else if (path === '/readyz') {
    const ready = options.isReady();
    sendJson(response, ready ? OK_STATUS : UNAVAILABLE_STATUS, { ready });
  } else if (path !== '/state' && path !== '/metrics') {
    sendJson(response, NOT_FOUND_STATUS, {});
  } else if (isAuthorized(request, options.key)) {
    await handleAuthorizedRequest(options, path, response);
  } else {
    options.onInvalidKey();
    options.logger.warn('request with an invalid operations key', {
      peer: request.socket.remoteAddress,
    });
    sendJson(response, UNAUTHORIZED_STATUS, {});
  }
};

/** Creates the HTTP server for operators: health, metrics and state. */
export const createOperationsServer = (options: OperationsServerOptions): Server =>
  createServer((request, response) => {
    void handleRequest(options, request, response).catch(() => response.destroy());
  });
