import { readResponseBody } from '@goldcrestscale/runtime';
import { request } from 'undici';
import type { Dispatcher } from 'undici';

/** A JSON request to a platform service. */
export interface JsonRequest {
  readonly url: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly timeoutMs: number;
  /** Maximum of what the body of the response takes, in bytes. */
  readonly maxBytes: number;
  /** JSON body. */
  readonly body?: unknown;
  readonly signal?: AbortSignal | undefined;
}

/** Response to a request; the body is `undefined` if it is not JSON. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
  /** Value of the `Retry-After` header, in milliseconds. */
  readonly retryAfterMs?: number;
}

const parseJsonOrUndefined = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};

const parseRetryAfterMs = (response: Dispatcher.ResponseData): number | undefined => {
  const seconds = Number(response.headers['retry-after']);
  return Number.isFinite(seconds) ? seconds * 1_000 : undefined;
};

/**
 * Sends a request and reads the complete response.
 *
 * @throws ResponseTooLargeError, or the transport error if no complete response is received in time
 */
export const sendJsonRequest = async (options: JsonRequest): Promise<JsonResponse> => {
  const timeout = AbortSignal.timeout(options.timeoutMs);
  const response = await request(options.url, {
    method: options.method,
    signal: options.signal ? AbortSignal.any([options.signal, timeout]) : timeout,
    ...(options.body === undefined
      ? {}
      : { body: JSON.stringify(options.body), headers: { 'content-type': 'application/json' } }),
  });
  const body = await readResponseBody(response.body, options.maxBytes);
  const retryAfterMs = parseRetryAfterMs(response);
  return {
    status: response.statusCode,
    body: parseJsonOrUndefined(body.toString('utf8')),
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
};
