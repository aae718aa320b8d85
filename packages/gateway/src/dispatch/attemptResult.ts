import type { AnswerHead } from '../ports/index.js';

/** How one attempt at an upstream ended. */
export type AttemptResult =
  /** The caller has the upstream's whole answer. */
  | { readonly kind: 'answered' }
  /** Nothing was run; another upstream may be tried. */
  | {
      readonly kind: 'not-run';
      readonly reason: 'unreachable' | 'refused' | 'misdirected' | 'moved' | 'cancelled';
    }
  /** The upstream ran the request and answered with a failure of its own. */
  | { readonly kind: 'failed'; readonly head: AnswerHead; readonly body: Buffer }
  /** No proper answer came; the request may have run. */
  | { readonly kind: 'unknown'; readonly reason: string }
  /** The caller has a part of a stream. */
  | { readonly kind: 'broken' };
