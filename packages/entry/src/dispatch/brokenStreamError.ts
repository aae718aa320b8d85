import { createError } from '@goldcrestscale/core';
import type { GoldcrestErrorInstance } from '@goldcrestscale/core';
import { DEFAULT_RETRY_AFTER_MS } from '../constants.js';

/** Creates the error for a stream that ended without its end marker. */
export const createBrokenStreamError = (): GoldcrestErrorInstance =>
  createError('The answer broke off and could not be resumed.', {
    code: 'stream_broken',
    status: 502,
    verdict: 'may-have-run',
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
  });
