import type { ResponseHead } from '../ports/index.js';

/** Result of one attempt at an upstream. */
export type AttemptResult =
  /** The upstream's response was passed to the caller in full. */
  | { readonly kind: 'answered' }
  /** The request was not executed; another upstream may be tried. */
  | {
      readonly kind: 'not-run';
      readonly reason: 'unreachable' | 'refused' | 'misdirected' | 'moved' | 'cancelled';
    }
  /** The request was not sent: a check right before the write failed. */
  | { readonly kind: 'withheld'; readonly reason: string }
  /** The upstream executed the request and returned a server error. */
  | { readonly kind: 'failed'; readonly head: ResponseHead; readonly body: Buffer }
  /** No valid response arrived; the request may have been executed. */
  | { readonly kind: 'unknown'; readonly reason: string }
  /** The stream broke after a part of it was sent to the caller. */
  | { readonly kind: 'broken'; readonly reason: string };
