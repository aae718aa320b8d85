import { createError, isGoldcrestError } from '@goldcrestscale/core';
import { DEFAULT_RETRY_AFTER_MS } from '../constants.js';
import type { Exchange } from '../filters/exchange.js';

/** Bounds the time until an answer begins. */
export interface Deadline {
  /** Aborts at the deadline, or when the caller has gone. */
  readonly signal: AbortSignal;
  /** Ends the bound; the caller's own signal stays in force. */
  clear(): void;
  /** Gives the error to raise for a failure: the deadline's where it has passed. */
  explain(cause: unknown): unknown;
}

const createDeadlineError = (cause: unknown): Error =>
  createError('The answer had not begun by the deadline.', {
    code: 'deadline',
    status: 504,
    verdict: isGoldcrestError(cause) ? cause.verdict : 'may-have-run',
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
  });

/** Creates the deadline of one attempt. */
export const createDeadline = (exchange: Exchange): Deadline => {
  const expiry = new AbortController();
  const isBound = exchange.deadlineAtMs !== undefined && !exchange.answer.headSent;
  const remainingMs = (exchange.deadlineAtMs ?? 0) - Date.now();
  const timer = isBound ? setTimeout(() => expiry.abort(), Math.max(remainingMs, 0)) : undefined;
  return {
    signal: AbortSignal.any([exchange.signal, expiry.signal]),
    clear: () => clearTimeout(timer),
    explain: (cause) => (expiry.signal.aborted ? createDeadlineError(cause) : cause),
  };
};
