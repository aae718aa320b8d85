import { createError, createRefusal } from '@goldcrestscale/core';
import type { GoldcrestErrorInstance, PromptRefusal } from '@goldcrestscale/core';
import { NO_CAPACITY_RETRY_AFTER_MS } from '../constants.js';
import type { GatewayExchange } from '../filters/gatewayExchange.js';
import type { RequestProgress } from './requestProgress.js';

/** Refuses a request for which no upstream is eligible. */
export const createNoUpstreamError = (retryAfterMs = 0): GoldcrestErrorInstance =>
  createRefusal('No upstream can take the request now; try again.', {
    code: 'no_upstream',
    status: 503,
    retryAfterMs: Math.max(NO_CAPACITY_RETRY_AFTER_MS, retryAfterMs),
  });

/** Refuses a request that no upstream can serve in time. */
export const createOverloadError = ({
  retryAfterMs,
  isRateLimited,
}: PromptRefusal): GoldcrestErrorInstance =>
  createRefusal('No upstream can serve the request in time now; try again later.', {
    code: isRateLimited ? 'rate_limited' : 'overloaded',
    status: 503,
    retryAfterMs: Math.max(NO_CAPACITY_RETRY_AFTER_MS, retryAfterMs),
  });

/** Ends a request whose caller has left; nobody receives it. */
export const createCallerLeftError = (exchange: GatewayExchange): GoldcrestErrorInstance =>
  createError('The caller left.', {
    code: 'caller_left',
    status: exchange.verdict === 'not-run' ? 503 : 504,
    verdict: exchange.verdict,
  });

/** Ends a request whose time is over. */
export const createTimeoutError = (exchange: GatewayExchange): GoldcrestErrorInstance =>
  createError('The time for the answer is over.', {
    code: 'deadline',
    status: exchange.verdict === 'not-run' ? 503 : 504,
    verdict: exchange.verdict,
  });

/**
 * @param signal aborts when the caller leaves or the deadline passes
 * @throws an error that ends the request if its caller has left or its time is over
 */
export const assertWaiting = (exchange: GatewayExchange, signal: AbortSignal): void => {
  if (exchange.signal.aborted) throw createCallerLeftError(exchange);
  // After a pause of the process, the deadline may have passed before its timer runs.
  const isOver = signal.aborted || performance.now() >= exchange.deadlineAtMs;
  if (isOver) throw createTimeoutError(exchange);
};

/**
 * Ends a request after its last attempt: relays the last server error, or throws.
 *
 * @param retryAfterMs time after which an upstream may serve the request, if known
 */
export const sendFailure = (
  exchange: GatewayExchange,
  progress: RequestProgress,
  retryAfterMs?: number,
): void => {
  const { response } = exchange;
  const { lastFailure } = progress;
  if (lastFailure && !response.isHeadSent) {
    const { head, body } = lastFailure;
    response.start({
      status: head.status,
      headers: head.forwardedHeaders,
      contentLength: body.length,
    });
    response.finish(body);
    return;
  }
  if (exchange.verdict === 'not-run') throw createNoUpstreamError(retryAfterMs);
  throw createError('The upstream gave no whole answer; the request may have run.', {
    code: response.isHeadSent ? 'stream_broken' : 'upstream_failed',
    status: 502,
    verdict: exchange.verdict,
  });
};
