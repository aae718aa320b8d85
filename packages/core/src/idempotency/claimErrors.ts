import { createError, createRefusal } from '../errors.js';
import { CLAIM_RETRY_AFTER_MS } from './constants.js';
import type { ClaimReply } from './shardMessages.js';

/** Errors for requests with an idempotency key; each verdict refers to the key. */

export const createKeyReusedError = (): Error =>
  createRefusal('This key was used with another request. Give each request a key of its own.', {
    code: 'key_reused',
    status: 422,
  });

export const createKeyExpiredError = (): Error =>
  createError(
    'This key is too old to tell whether it has run. Look the result up at the service.',
    {
      code: 'key_expired',
      status: 409,
      verdict: 'may-have-run',
    },
  );

export const createKeyInFutureError = (): Error =>
  createRefusal("This key's time lies in the future. Set the clock and make a new key.", {
    code: 'key_in_future',
    status: 400,
  });

export const createOutcomeUnknownError = (): Error =>
  createError('An earlier request with this key may have run. Look the result up at the service.', {
    code: 'outcome_unknown',
    status: 409,
    verdict: 'may-have-run',
    retryAfterMs: CLAIM_RETRY_AFTER_MS,
  });

/** Creates the error for a request whose claim was not decided by the log. */
export const createClaimUndecidedError = (reply?: ClaimReply): Error => {
  const unavailable = reply?.type === 'unavailable' ? reply : undefined;
  return createRefusal(
    'This request was not run, since the log did not settle its claim. Repeat it with the same key.',
    {
      code: unavailable?.code ?? 'log_unavailable',
      status: 503,
      retryAfterMs: unavailable?.retryAfterMs ?? CLAIM_RETRY_AFTER_MS,
    },
  );
};
