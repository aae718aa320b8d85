import { createError, createRefusal } from '../errors.js';
import { ONCE_RETRY_AFTER_MS } from './constants.js';
import type { ClaimReply } from './shardMessages.js';

/** Errors of unrepeatable requests; each verdict is about the key. */

export const createKeyReused = (): Error =>
  createRefusal('This key was used with another request. Give each request a key of its own.', {
    code: 'key_reused',
    status: 422,
  });

export const createKeyExpired = (): Error =>
  createError(
    'This key is too old to tell whether it has run. Look the result up at the service.',
    {
      code: 'key_expired',
      status: 409,
      verdict: 'may-have-run',
    },
  );

export const createKeyInFuture = (): Error =>
  createRefusal("This key's time lies in the future. Set the clock and make a new key.", {
    code: 'key_in_future',
    status: 400,
  });

export const createOutcomeUnknown = (): Error =>
  createError('An earlier request with this key may have run. Look the result up at the service.', {
    code: 'outcome_unknown',
    status: 409,
    verdict: 'may-have-run',
    retryAfterMs: ONCE_RETRY_AFTER_MS,
  });

/** Creates the refusal of a request whose claim the log has not decided. */
export const createUndecided = (reply?: ClaimReply): Error => {
  const unavailable = reply?.type === 'unavailable' ? reply : undefined;
  return createRefusal(
    'This request was not run, since the log did not settle its claim. Repeat it with the same key.',
    {
      code: unavailable?.code ?? 'log_unavailable',
      status: 503,
      retryAfterMs: unavailable?.retryAfterMs ?? ONCE_RETRY_AFTER_MS,
    },
  );
};
