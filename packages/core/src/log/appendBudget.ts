import { BUDGET_BURST_MS } from './constants.js';

/** What an append is for; the later ones of this list give way first. */
export type AppendPriority = 'table' | 'lease' | 'once' | 'snapshot' | 'observation';

/** Share of the burst that an append must leave for the more important ones. */
const RESERVED_SHARE: Readonly<Record<AppendPriority, number>> = {
  table: 0,
  lease: 0.1,
  once: 0.3,
  snapshot: 0.5,
  observation: 0.7,
};

/** Budget of appends that the streams of one VM share. */
export interface AppendBudget {
  /** Takes one append out of the budget if its priority allows that now. */
  tryTake(priority: AppendPriority): boolean;
  /** Gives the time until an append of this priority is allowed, in milliseconds. */
  getWaitMs(priority: AppendPriority): number;
}

/** Creates a budget that updateAvailables evenly. */
export const createAppendBudget = (appendsPerSecond: number): AppendBudget => {
  const perMs = appendsPerSecond / 1_000;
  const capacity = Math.max(perMs * BUDGET_BURST_MS, 1);
  let available = capacity;
  let updatedAtMs = performance.now();

  const updateAvailable = (): void => {
    const nowMs = performance.now();
    available = Math.min(capacity, available + (nowMs - updatedAtMs) * perMs);
    updatedAtMs = nowMs;
  };
  const getMissing = (priority: AppendPriority): number => {
    updateAvailable();
    // At least one append must fit, also in a budget smaller than its reserves.
    const needed = Math.min(capacity, 1 + RESERVED_SHARE[priority] * capacity);
    return Math.max(0, needed - available);
  };
  return {
    tryTake(priority) {
      if (getMissing(priority) > 1e-9) return false;
      available -= 1;
      return true;
    },
    getWaitMs: (priority) => Math.ceil(getMissing(priority) / perMs),
  };
};
