import { createError } from '@goldcrestscale/core';
import type { GoldcrestErrorInstance, SendEnd, Verdict } from '@goldcrestscale/core';
import { DEFAULT_RETRY_AFTER_MS } from '../constants.js';
import type { ResponseBodyError } from './responseBodyError.js';

/** Error code for a connection that was closed before the request was written. */
export const CONNECTION_CLOSED_CODE = 'GOLDCREST_CONNECTION_CLOSED';

/** Error code for a connection that was reset. */
export const CONNECTION_RESET_CODE = 'GOLDCREST_CONNECTION_RESET';

/** Codes of errors that occur before any byte of the request is sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
  CONNECTION_CLOSED_CODE,
]);

/** Creates an error with a `code`, like the socket errors of Node.js. */
export const createCodedError = (message: string, code: string): Error =>
  Object.assign(new Error(message), { code });

const getErrorCode = (cause: unknown): string =>
  cause instanceof Error && 'code' in cause ? String(cause.code) : '';

/** Decides the verdict on a request whose HTTP call failed. */
export const decideTransportVerdict = (cause: unknown): Verdict =>
  NOT_SENT_CODES.has(getErrorCode(cause)) ? 'not-run' : 'may-have-run';

/** Finds out how the send ended of a request whose HTTP call failed. */
export const findTransportEnd = (cause: unknown): SendEnd => {
  if (decideTransportVerdict(cause) !== 'not-run') return 'lost';
  return getErrorCode(cause) === CONNECTION_CLOSED_CODE ? 'withheld' : 'unreachable';
};

/** Creates the error for an upstream that is healthy but can't serve this request now. */
export const createUnavailableError = (
  message: string,
  verdict: Verdict,
  sendEnd: SendEnd = 'lost',
): GoldcrestErrorInstance =>
  createError(message, {
    code: 'upstream_failed',
    status: 503,
    verdict,
    sendEnd,
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
  });

/** Creates the error for an answer that this VM gave up for want of memory. */
export const createMemoryError = (
  { neededBytes }: ResponseBodyError,
  code: 'upstream_failed' | 'stream_broken',
): GoldcrestErrorInstance =>
  createError('There is no memory for the answer.', {
    code,
    status: 502,
    verdict: 'may-have-run',
    sendEnd: 'lost',
    neededBytes,
  });

/** Creates the error for a failed attempt. */
export const createAttemptError = (
  message: string,
  verdict: Verdict,
  sendEnd: SendEnd = 'lost',
): GoldcrestErrorInstance =>
  createError(message, {
    code: 'upstream_failed',
    status: 502,
    verdict,
    sendEnd,
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
  });
