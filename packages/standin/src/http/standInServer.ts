import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { FaultSet } from './faultSet.js';
import { buildErrorReply, matchPath } from './route.js';
import type { Reply, Route, RouteRequest } from './route.js';

/** Role of a stand-in with its routes and faults. */
export interface StandInRole {
  readonly routes: readonly Route[];
  readonly faults: Pick<FaultSet<object>, 'update' | 'current'>;
  /** Intercepts a request before its handler; returns a reply to send, or "drop" to disconnect. */
  intercept?(path: string): Promise<Reply | 'drop' | undefined>;
}

/** Listening HTTP server of a stand-in. */
export interface StandInServer {
  readonly port: number;
  /** Closes the server and every connection; resolves once the port is free. */
  close(): Promise<void>;
}

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
};

const writeReply = (response: ServerResponse, reply: Reply): void => {
  if (response.destroyed || response.headersSent) return;
  if (Buffer.isBuffer(reply.body)) {
    response.writeHead(reply.status, { 'content-length': reply.body.length, ...reply.headers });
    response.end(reply.body);
    return;
  }
  const text = reply.body === undefined ? '' : JSON.stringify(reply.body);
  response.writeHead(reply.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...reply.headers,
  });
  response.end(text);
};

const buildRequest = (
  request: IncomingMessage,
  response: ServerResponse,
  url: URL,
  body: Buffer,
  params: Readonly<Record<string, string>>,
): RouteRequest => {
  const abortController = new AbortController();
  response.once('close', () => abortController.abort());
  return {
    params,
    query: url.searchParams,
    headers: request.headers,
    body,
    response,
    signal: abortController.signal,
    readJson: () =>
      (body.length === 0 ? {} : JSON.parse(body.toString('utf8'))) as Record<string, unknown>,
    drop: () => response.destroy(),
  };
};

const createControlRoutes = (role: StandInRole): Route[] => [
  { method: 'GET', path: '/healthz', handle: () => ({ status: 200, body: { ok: true } }) },
  { method: 'GET', path: '/faults', handle: () => ({ status: 200, body: role.faults.current }) },
  {
    method: 'POST',
    path: '/faults',
    handle: (request) => {
      const unknown = role.faults.update(request.readJson());
      if (unknown.length > 0) return buildErrorReply(400, `unknown faults: ${unknown.join(', ')}`);
      return { status: 200, body: role.faults.current };
    },
  },
];

const findRoute = (routes: readonly Route[], method: string, path: string) => {
  for (const route of routes) {
    const params = route.method === method ? matchPath(route.path, path) : undefined;
    if (params) return { route, params };
  }
  return undefined;
};

const createListener = (role: StandInRole) => {
  const controlRoutes = createControlRoutes(role);
  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = new URL(request.url ?? '/', 'http://stand-in');
    const method = request.method ?? 'GET';
    const body = await readBody(request);
    const controlRoute = findRoute(controlRoutes, method, url.pathname);
    const matched = controlRoute ?? findRoute(role.routes, method, url.pathname);
    if (!matched) {
      writeReply(response, buildErrorReply(404, 'not_found'));
      return;
    }
    const intercepted = controlRoute ? undefined : await role.intercept?.(url.pathname);
    if (intercepted === 'drop') {
      response.destroy();
      return;
    }
    const routeRequest = buildRequest(request, response, url, body, matched.params);
    const reply = intercepted ?? (await matched.route.handle(routeRequest));
    if (reply) writeReply(response, reply);
  };
};

/** Starts the HTTP server of a role on the given address. */
export const startStandInServer = async (
  role: StandInRole,
  options: { readonly host: string; readonly port: number },
): Promise<StandInServer> => {
  const listener = createListener(role);
  const server: Server = createServer((request, response) => {
    listener(request, response).catch((error: unknown) => {
      writeReply(response, buildErrorReply(400, error instanceof Error ? error.message : 'bad'));
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
};
