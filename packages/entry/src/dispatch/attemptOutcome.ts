import type { GoldcrestErrorInstance } from '@goldcrestscale/core';

/** What the result of an attempt indicates about the health of its upstream. */
export type AttemptOutcome = 'success' | 'failure' | 'neutral';

const BAD_GATEWAY_STATUS = 502;

/** Classifies a failed attempt; an upstream that is busy or loading weights is not faulty. */
export const decideFailureOutcome = ({ code, status }: GoldcrestErrorInstance): AttemptOutcome =>
  status === BAD_GATEWAY_STATUS || code === 'deadline' ? 'failure' : 'neutral';
