import type { Verdict } from '@goldcrestscale/core';
import type { ErrorBody } from './completionChunk.js';

/** HTTP request that can be sent to any entry VM. */
export interface RequestPayload {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Whether the response is a stream of server-sent events. */
  readonly isStreaming: boolean;
  /** Whether the response is a completion; otherwise it comes from a service. */
  readonly isCompletion: boolean;
}

/** How one attempt ended. */
export type AttemptOutcome =
  /** The response is complete. */
  | { readonly type: 'whole' }
  /** The entry VM returned an error, as the response or within the stream. */
  | { readonly type: 'refused'; readonly status: number; readonly error: ErrorBody }
  /** The connection could not be established; nothing was sent. */
  | { readonly type: 'unreachable' }
  /** The connection broke after the request was sent. */
  | { readonly type: 'cut' }
  /** The stream ended normally, but without its end marker. */
  | { readonly type: 'truncated' };

/** One attempt at a request. */
export interface Attempt {
  readonly outcome: AttemptOutcome;
  readonly text: string;
  /** Arrival times of the tokens on the monotonic clock, in milliseconds. */
  readonly tokenArrivalTimesMs: readonly number[];
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/** Gets the verdict on whether an attempt executed its request. */
export const getVerdict = (attemptOutcome: AttemptOutcome): Verdict => {
  if (attemptOutcome.type === 'whole') return 'ran';
  if (attemptOutcome.type === 'unreachable') return 'not-run';
  return attemptOutcome.type === 'refused' ? attemptOutcome.error.verdict : 'may-have-run';
};
