import type { AccountState } from './accountState.js';
import { MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS } from './constants.js';
import type { PoolState } from './poolState.js';

/** Lower bound on the slots assumed, so that the estimate is finite for a VM without slots. */
const MIN_SLOTS = 0.25;

/** Estimates the time until a request starts behind others of its account, in milliseconds. */
export const estimateWaitMs = (
  pool: PoolState,
  account: AccountState,
  slots: number,
  requestsAhead: number,
): number => {
  if (pool.averageServiceTimeMs === undefined || account.running + requestsAhead < slots) return 0;
  return ((requestsAhead + 1) * pool.averageServiceTimeMs) / Math.max(slots, MIN_SLOTS);
};

/** Clamps the delay after which a refused caller may retry. */
export const clampRetryAfterMs = (delayMs: number): number =>
  Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, Math.ceil(delayMs)));
