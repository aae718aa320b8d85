import type { AccountState } from './accountState.js';
import { RETRY_AFTER_MAX_MS, RETRY_AFTER_MIN_MS } from './constants.js';
import type { PoolState } from './poolState.js';

/** Fewest slots assumed, so that a VM without any still has a finite estimate. */
const SLOTS_MIN = 0.25;

/** Estimates the wait until a request starts that has others of its account ahead, in milliseconds. */
export const estimateWaitMs = (
  pool: PoolState,
  account: AccountState,
  slots: number,
  ahead: number,
): number => {
  if (pool.serviceMs === undefined || account.running + ahead < slots) return 0;
  return ((ahead + 1) * pool.serviceMs) / Math.max(slots, SLOTS_MIN);
};

/** Bounds the time after which a refused caller may come again. */
export const normalizeRetryAfter = (delayMs: number): number =>
  Math.min(RETRY_AFTER_MAX_MS, Math.max(RETRY_AFTER_MIN_MS, Math.ceil(delayMs)));
