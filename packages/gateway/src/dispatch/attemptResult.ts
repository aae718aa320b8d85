import type { SendEnd } from '@goldcrestscale/core';
import type { ResponseHead } from '../ports/index.js';

/**
 * Why a request was not run: `unreachable`, `no-connection` (the limit of connections is reached),
 * `no-socket` (this VM has no descriptor or port for one), `no-path` (no other VM could be asked in place
 * of this one) and `cancelled` never left this VM; the upstream itself gave the others.
 */
export type NotRunReason =
  | 'unreachable'
  | 'no-connection'
  | 'no-socket'
  | 'no-path'
  | 'cancelled'
  | 'refused'
  | 'misdirected'
  | 'moved';

/** Result of an attempt without a whole response, because of the upstream or of this VM. */
interface BrokenOff {
  readonly reason: string;
  readonly isOwnFailure?: boolean;
  /** Memory that the response needs; defined if it was given up for want of it. */
  readonly neededBytes?: number | undefined;
}

/**
 * Result of one attempt at an upstream; an own failure is one of this VM, such as a lack of memory, or of
 * the VM between.
 */
export type AttemptResult =
  /** The upstream's response was passed to the caller in full. */
  | { readonly kind: 'answered' }
  /** The request was not executed; another upstream may be tried. */
  | {
      readonly kind: 'not-run';
      readonly reason: NotRunReason;
    }
  /** The request was not sent: a check right before the write failed. */
  | { readonly kind: 'withheld'; readonly reason: string }
  /** The upstream executed the request and returned a server error. */
  | { readonly kind: 'failed'; readonly head: ResponseHead; readonly body: Buffer }
  /** No valid response arrived; the request may have been executed. */
  | ({ readonly kind: 'unknown' } & BrokenOff)
  /** The stream broke after a part of it was sent to the caller. */
  | ({ readonly kind: 'broken' } & BrokenOff);

const SEND_ENDS: Readonly<Record<NotRunReason, SendEnd>> = {
  unreachable: 'unreachable',
  'no-connection': 'unreachable',
  'no-socket': 'unreachable',
  'no-path': 'unreachable',
  cancelled: 'dropped',
  refused: 'rejected',
  misdirected: 'rejected',
  moved: 'rejected',
};

/** Finds out how the send of an attempt ended. */
export const findSendEnd = (result: AttemptResult): SendEnd => {
  if (result.kind === 'not-run') return SEND_ENDS[result.reason];
  if (result.kind === 'withheld') return 'withheld';
  return result.kind === 'answered' || result.kind === 'failed' ? 'answered' : 'lost';
};
