import { createError, isGoldcrestError } from '@goldcrestscale/core';
import type { GoldcrestErrorInstance, Verdict } from '@goldcrestscale/core';
import { DEFAULT_RETRY_AFTER_MS } from '../constants.js';
import type { Exchange } from '../filters/exchange.js';

/** Limits the time until the response starts. */
export interface Deadline {
  /** Aborts at the deadline or when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Removes the time limit; the signal still aborts when the caller disconnects. */
  clear(): void;
  /** Returns the error to throw for a failure: a deadline error if the deadline has passed. */
  mapError(cause: unknown): unknown;
}

/** Creates the error for a request whose time is over. */
export const createDeadlineError = (verdict: Verdict): GoldcrestErrorInstance =>
  createError('The answer had not begun by the deadline.', {
    code: 'deadline',
    status: 504,
    verdict,
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
  });

/** Creates the deadline of one attempt. */
export const createDeadline = (exchange: Exchange): Deadline => {
  const expiry = new AbortController();
  const isTimed = exchange.deadlineAtMs !== undefined && !exchange.response.isHeadSent;
  const remainingMs = (exchange.deadlineAtMs ?? 0) - performance.now();
  const timer = isTimed ? setTimeout(() => expiry.abort(), Math.max(remainingMs, 0)) : undefined;
  return {
    signal: AbortSignal.any([exchange.signal, expiry.signal]),
    clear: () => clearTimeout(timer),
    mapError(cause) {
      if (!expiry.signal.aborted) return cause;
      return createDeadlineError(isGoldcrestError(cause) ? cause.verdict : 'may-have-run');
    },
  };
};
