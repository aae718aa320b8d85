import type { GoldcrestErrorInstance } from '@goldcrestscale/core';

/** What the end of an attempt says of its upstream. */
export type AttemptOutcome = 'success' | 'failure' | 'neutral';

const FAULT_STATUS = 502;

/** Gives the outcome of a failed attempt; a busy upstream or one that loads weights is no fault. */
export const decideOutcome = ({ code, status }: GoldcrestErrorInstance): AttemptOutcome =>
  status === FAULT_STATUS || code === 'deadline' ? 'failure' : 'neutral';
