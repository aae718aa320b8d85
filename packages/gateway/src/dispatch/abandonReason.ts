import { InvalidResponseError } from './invalidResponseError.js';
import type { AbandonReason } from './invalidResponseError.js';
import { ResponseMemoryError } from './responseMemoryError.js';

/** Prefix of the codes of errors of the HTTP parser. */
const PARSER_ERROR_PREFIX = 'HPE_';

/** Finds out why an error gave a response up; undefined if the response ended by another cause. */
export const findAbandonReason = (error: Error): AbandonReason | undefined => {
  if (error instanceof InvalidResponseError) return error.reason;
  if (error instanceof ResponseMemoryError) return 'memory';
  const isUnreadable = 'code' in error && String(error.code).startsWith(PARSER_ERROR_PREFIX);
  return isUnreadable ? 'syntax' : undefined;
};
