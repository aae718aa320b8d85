import type { GoldcrestErrorInstance, Verdict } from '@goldcrestscale/core';
import type { Exchange } from '../filters/exchange.js';

/** Body of an error response, in the format of the OpenAI API. */
export interface ErrorBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: string;
    readonly verdict: Verdict;
    readonly request_id: string;
    readonly retry_after_ms?: number;
  };
}

const MS_PER_SECOND = 1_000;

/** Builds the body of an error response. */
export const buildErrorBody = (
  error: GoldcrestErrorInstance,
  verdict: Verdict,
  requestId: string,
): ErrorBody => ({
  error: {
    message: error.message,
    type: error.status < 500 ? 'invalid_request_error' : 'server_error',
    code: error.code,
    verdict,
    request_id: requestId,
    ...(error.retryAfterMs === undefined ? {} : { retry_after_ms: error.retryAfterMs }),
  },
});

/** Builds the headers of an error response; `Retry-After` is rounded up to whole seconds. */
export const buildErrorHeaders = (
  error: GoldcrestErrorInstance,
  verdict: Verdict,
  requestId: string,
): Record<string, string> => ({
  'content-type': 'application/json',
  'x-request-id': requestId,
  'x-goldcrest-verdict': verdict,
  // OpenAI clients retry 5xx responses by default; a request that may have run must not be retried.
  'x-should-retry': String(verdict === 'not-run' && error.retryAfterMs !== undefined),
  ...(error.retryAfterMs === undefined
    ? {}
    : {
        'retry-after': String(Math.ceil(error.retryAfterMs / MS_PER_SECOND)),
        'retry-after-ms': String(Math.ceil(error.retryAfterMs)),
      }),
});

/** Sends an error as the response, or as the last event of a stream that has started. */
export const sendError = async (
  exchange: Exchange,
  error: GoldcrestErrorInstance,
  verdict: Verdict,
): Promise<void> => {
  const { response: writer, requestId } = exchange;
  if (exchange.signal.aborted) {
    writer.finish();
    return;
  }
  const body = JSON.stringify(buildErrorBody(error, verdict, requestId));
  if (writer.isHeadSent) {
    await writer.write(`data: ${body}\n\n`);
  } else {
    writer.writeHead(error.status, buildErrorHeaders(error, verdict, requestId));
    await writer.write(body);
  }
  writer.finish();
};
