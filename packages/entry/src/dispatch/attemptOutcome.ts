import { isGoldcrestError } from '@goldcrestscale/core';
import type { GoldcrestErrorInstance, SendEnd } from '@goldcrestscale/core';

/** What the result of an attempt indicates about the health of its upstream. */
export type AttemptOutcome = 'success' | 'failure' | 'neutral';

const BAD_GATEWAY_STATUS = 502;

/** Classifies a failed attempt; an upstream is not faulty if it is busy or this VM has no memory. */
export const decideFailureOutcome = ({
  code,
  status,
  neededBytes,
}: GoldcrestErrorInstance): AttemptOutcome => {
  if (neededBytes !== undefined) return 'neutral';
  return status === BAD_GATEWAY_STATUS || code === 'deadline' ? 'failure' : 'neutral';
};

interface SendState {
  /** Whether the checks before the write let the request pass. */
  readonly isSent: boolean;
  readonly isAborted: boolean;
}

/** Finds out how the send of a failed attempt ended. */
export const findSendEnd = (cause: unknown, { isSent, isAborted }: SendState): SendEnd => {
  if (isGoldcrestError(cause) && cause.sendEnd !== undefined) return cause.sendEnd;
  if (!isSent) return isAborted ? 'dropped' : 'withheld';
  // A check of a slot may still refuse the request behind the others.
  return isGoldcrestError(cause) && cause.verdict === 'not-run' ? 'withheld' : 'lost';
};
