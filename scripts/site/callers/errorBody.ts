import type { Verdict } from '@goldcrestscale/core';
import type { AttemptResult } from './attemptResult.js';

interface ErrorBody {
  readonly error?: {
    readonly code?: string;
    readonly verdict?: Verdict;
    readonly retry_after_ms?: number;
  };
}

const readBody = (text: string): ErrorBody => {
  try {
    return JSON.parse(text) as ErrorBody;
  } catch {
    return {};
  }
};

/** Parses the body of an error answer. */
export const parseErrorBody = (status: number, text: string): AttemptResult => {
  const { error } = readBody(text);
  return {
    type: 'error',
    status,
    code: error?.code ?? 'unknown',
    verdict: error?.verdict ?? 'may-have-run',
    retryAfterMs: error?.retry_after_ms,
  };
};

/** Converts a failed HTTP call to how it ended. */
export const toFailure = (cause: unknown, receivedTokens: number): AttemptResult => {
  const code = cause instanceof Error && 'code' in cause ? cause.code : undefined;
  const notConnected = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
  return notConnected ? { type: 'unreachable' } : { type: 'cut', receivedTokens };
};
