import { APPEND_BUDGET_BURST_MS } from './constants.js';

/** Priority of an append, highest first. */
export type AppendPriority = 'table' | 'lease' | 'once' | 'snapshot' | 'observation';

/** Fraction of the burst that is reserved for appends of higher priority. */
const RESERVED_FRACTION: Readonly<Record<AppendPriority, number>> = {
  table: 0,
  lease: 0.1,
  once: 0.3,
  snapshot: 0.5,
  observation: 0.7,
};

/** Rate limit for appends, shared by the streams of one VM. */
export interface AppendBudget {
  /** Takes one append from the budget if the priority's reserve permits it now. */
  tryTake(priority: AppendPriority): boolean;
  /** Returns the time until an append of this priority is permitted, in milliseconds. */
  getWaitMs(priority: AppendPriority): number;
}

/** Creates a token bucket that refills at a constant rate. */
export const createAppendBudget = (appendsPerSecond: number): AppendBudget => {
  const refillPerMs = appendsPerSecond / 1_000;
  const capacity = Math.max(refillPerMs * APPEND_BUDGET_BURST_MS, 1);
  let availableAppends = capacity;
  let updatedAtMs = performance.now();

  const addEarnedAppends = (): void => {
    const nowMs = performance.now();
    availableAppends = Math.min(capacity, availableAppends + (nowMs - updatedAtMs) * refillPerMs);
    updatedAtMs = nowMs;
  };
  const computeShortfall = (priority: AppendPriority): number => {
    addEarnedAppends();
    // Capped at the capacity, so that one append is possible even if the reserves exceed the budget.
    const needed = Math.min(capacity, 1 + RESERVED_FRACTION[priority] * capacity);
    return Math.max(0, needed - availableAppends);
  };
  return {
    tryTake(priority) {
      if (computeShortfall(priority) > 1e-9) return false;
      availableAppends -= 1;
      return true;
    },
    getWaitMs: (priority) => Math.ceil(computeShortfall(priority) / refillPerMs),
  };
};
