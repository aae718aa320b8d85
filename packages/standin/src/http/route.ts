import type { IncomingHttpHeaders, ServerResponse } from 'node:http';

/** Response of a handler with one JSON or binary body. */
export interface Reply {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Value to encode as JSON, or a Buffer to send unchanged. */
  readonly body?: unknown;
}

/** Request passed to a route handler. */
export interface RouteRequest {
  readonly params: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /** Response object, for handlers that stream. */
  readonly response: ServerResponse;
  /** Aborts when the connection closes. */
  readonly signal: AbortSignal;
  /** Parses the body as a JSON object; an empty body gives an empty object. */
  readJson(): Record<string, unknown>;
  /** Closes the connection without a response. */
  drop(): void;
}

/** Handler of one route; returns undefined if it has handled the response itself. */
export type RouteHandler = (
  request: RouteRequest,
) => Promise<Reply | undefined> | Reply | undefined;

/** Route with a method and a path, in which segments that start with ":" are parameters. */
export interface Route {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly handle: RouteHandler;
}

/** Matches a path against a route pattern. @returns the parameters, or undefined if it differs */
export const matchPath = (
  pattern: string,
  path: string,
): Readonly<Record<string, string>> | undefined => {
  const expected = pattern.split('/');
  const actual = path.split('/');
  if (expected.length !== actual.length) return undefined;
  const params: Record<string, string> = {};
  const matches = expected.every((segment, index) => {
    const value = actual[index] ?? '';
    if (!segment.startsWith(':')) return segment === value;
    params[segment.slice(1)] = decodeURIComponent(value);
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
