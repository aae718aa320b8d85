import type { Verdict } from '@goldcrestscale/core';
import type { ErrorFrame } from './answerFrame.js';

/** What a request asks for, ready to be sent to any entry VM. */
export interface RequestPayload {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Whether the answer is a stream of events. */
  readonly stream: boolean;
  /** Whether the answer is a completion; else it is a service's answer. */
  readonly completion: boolean;
}

/** How one attempt ended. */
export type AttemptEnd =
  /** The whole answer came. */
  | { readonly type: 'whole' }
  /** The system answered with an error, at once or within the stream. */
  | { readonly type: 'refused'; readonly status: number; readonly error: ErrorFrame }
  /** No connection; nothing was sent. */
  | { readonly type: 'unreachable' }
  /** The connection broke after the request was sent. */
  | { readonly type: 'cut' }
  /** The answer ended in order, but without its end marker. */
  | { readonly type: 'truncated' };

/** One attempt at a request. */
export interface Attempt {
  readonly end: AttemptEnd;
  readonly text: string;
  /** Times of the tokens by the monotonic clock, in milliseconds. */
  readonly tokenTimesMs: readonly number[];
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/** Gives what an attempt proves about the run of its request. */
export const getVerdict = (end: AttemptEnd): Verdict => {
  if (end.type === 'whole') return 'ran';
  if (end.type === 'unreachable') return 'not-run';
  return end.type === 'refused' ? end.error.verdict : 'may-have-run';
};
