import type { IncomingHttpHeaders, ServerResponse } from 'node:http';

/** Answer of a handler that writes one JSON or binary body. */
export interface Reply {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** JSON value, or bytes as they are. */
  readonly body?: unknown;
}

/** A request as a handler sees it. */
export interface RouteRequest {
  readonly params: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /** Response, for handlers that stream. */
  readonly response: ServerResponse;
  /** Aborts when the connection has closed. */
  readonly signal: AbortSignal;
  /** Parses the body as a JSON object; an empty one gives an empty object. */
  readJson(): Record<string, unknown>;
  /** Cuts the connection without an answer. */
  drop(): void;
}

/** Handler of one route; gives undefined where it has written the response itself. */
export type RouteHandler = (
  request: RouteRequest,
) => Promise<Reply | undefined> | Reply | undefined;

/** One route: a method and a path whose parts beginning with ":" are parameters. */
export interface Route {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly handle: RouteHandler;
}

/** Matches a path against a route's path. */
export const matchPath = (
  pattern: string,
  path: string,
): Readonly<Record<string, string>> | undefined => {
  const expected = pattern.split('/');
  const actual = path.split('/');
  if (expected.length !== actual.length) return undefined;
  const params: Record<string, string> = {};
  const matches = expected.every((part, index) => {
    const value = actual[index] ?? '';
    if (!part.startsWith(':')) return part === value;
    params[part.slice(1)] = decodeURIComponent(value);
    return value !== '';
  });
  return matches ? params : undefined;
};

/** Builds a reply with an error body. */
export const buildErrorReply = (
  status: number,
  code: string,
  headers: Readonly<Record<string, string>> = {},
): Reply => ({ status, headers, body: { error: { code, message: code } } });
