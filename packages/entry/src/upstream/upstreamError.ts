import { createError } from '@goldcrestscale/core';
import type { GoldcrestErrorInstance, Verdict } from '@goldcrestscale/core';
import { DEFAULT_RETRY_AFTER_MS } from '../constants.js';

/** Code of a call on a connection that had ended before the call was written. */
export const CONNECTION_CLOSED = 'GOLDCREST_CONNECTION_CLOSED';

/** Codes of failures that happen before a byte of the request has left this VM. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
  CONNECTION_CLOSED,
]);

/** Creates an error with a code, as the runtime's own socket errors have. */
export const createCodedError = (message: string, code: string): Error =>
  Object.assign(new Error(message), { code });

const readCode = (cause: unknown): string =>
  cause instanceof Error && 'code' in cause ? String(cause.code) : '';

/** Gives the verdict on a request whose HTTP call failed. */
export const decideCallVerdict = (cause: unknown): Verdict =>
  NOT_SENT_CODES.has(readCode(cause)) ? 'not-run' : 'may-have-run';

/** Creates the failure of an attempt at an upstream that works but can't serve this request now. */
export const createUnavailableError = (message: string, verdict: Verdict): GoldcrestErrorInstance =>
  createError(message, {
    code: 'upstream_failed',
    status: 503,
    verdict,
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
  });

/** Creates the failure of one attempt at an upstream. */
export const createAttemptError = (message: string, verdict: Verdict): GoldcrestErrorInstance =>
  createError(message, {
    code: 'upstream_failed',
    status: 502,
    verdict,
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
  });
