import type { Verdict } from '@goldcrestscale/core';

/** How one HTTP call of a caller ended. */
export type AttemptResult =
  | {
      readonly type: 'whole';
      readonly status: number;
      readonly text: string;
      readonly firstTokenMs: number;
      readonly promptTokens: number;
      readonly cachedTokens: number;
    }
  /** The system answered with an error, before or in the stream. */
  | {
      readonly type: 'error';
      readonly status: number;
      readonly code: string;
      readonly verdict: Verdict;
      readonly retryAfterMs: number | undefined;
    }
  /** No connection was made. */
  | { readonly type: 'unreachable' }
  /** The connection broke before the answer's end. */
  | { readonly type: 'cut'; readonly receivedTokens: number };
