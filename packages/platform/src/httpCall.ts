import { request } from 'undici';
import type { Dispatcher } from 'undici';

/** One JSON call to a platform service. */
export interface HttpCall {
  readonly url: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly timeoutMs: number;
  /** JSON body. */
  readonly body?: unknown;
  readonly signal?: AbortSignal | undefined;
}

/** Answer to a call; the body is `undefined` where it is not JSON. */
export interface HttpAnswer {
  readonly status: number;
  readonly body: unknown;
  /** Value of the `Retry-After` header, in milliseconds. */
  readonly retryAfterMs?: number;
}

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};

const parseRetryAfter = (answer: Dispatcher.ResponseData): number | undefined => {
  const seconds = Number(answer.headers['retry-after']);
  return Number.isFinite(seconds) ? seconds * 1_000 : undefined;
};

/**
 * Sends one call and reads its whole answer.
 *
 * @throws the transport's error where no whole answer came within the timeout
 */
export const sendCall = async (call: HttpCall): Promise<HttpAnswer> => {
  const timeout = AbortSignal.timeout(call.timeoutMs);
  const answer = await request(call.url, {
    method: call.method,
    signal: call.signal ? AbortSignal.any([call.signal, timeout]) : timeout,
    ...(call.body === undefined
      ? {}
      : { body: JSON.stringify(call.body), headers: { 'content-type': 'application/json' } }),
  });
  const retryAfterMs = parseRetryAfter(answer);
  return {
    status: answer.statusCode,
    body: parseJson(await answer.body.text()),
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
};
