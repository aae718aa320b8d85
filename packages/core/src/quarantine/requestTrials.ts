import { ROW_REPEAT_MS, TRIAL_GROUP_GROWTH, TRIAL_TURN_MS } from './constants.js';

/** One send of a held request, which shows whether the request crashes its upstream. */
export interface RequestTrial {
  /** Finishes the trial; to be called once it is known whether the upstream ended. */
  finish(): void;
}

/** Counts the turns that pass until a VM may send a trial. */
const countTurns = (rank: number): number => {
  let turns = 0;
  for (let admitted = 1; admitted <= rank; admitted *= TRIAL_GROUP_GROWTH) turns += 1;
  return turns;
};

/**
 * Trials of one held request. The first VM by rank may send it; with each turn without a trial more
 * VMs may, because the request may not come to those before them.
 */
export class RequestTrials {
  private count = 0;

  private open = 0;

  /** Monotonic time at which a trial was last known to be under way. */
  private lastAtMs = -Infinity;

  /**
   * Number of trials and of their renewals in the fleet. VMs compare it instead of times, which rows
   * that come back through other VMs would seem to advance.
   */
  get latest(): number {
    return this.count;
  }

  /** @param readyAtMs monotonic time from which on the request may be tried */
  computeWaitMs(rank: number, readyAtMs: number): number {
    const nowMs = performance.now();
    const lastAtMs = this.open > 0 ? nowMs : this.lastAtMs;
    const fromMs = Math.max(readyAtMs, lastAtMs + TRIAL_TURN_MS);
    return Math.max(0, fromMs + countTurns(rank) * TRIAL_TURN_MS - nowMs);
  }

  begin(): RequestTrial {
    this.open += 1;
    this.advance();
    let isOpen = true;
    return {
      finish: () => {
        if (!isOpen) return;
        isOpen = false;
        this.open -= 1;
        this.lastAtMs = performance.now();
      },
    };
  }

  /** Tells other VMs again of a trial that is still under way. @returns whether there is one to tell of */
  renew(): boolean {
    if (this.open === 0 || performance.now() - this.lastAtMs < ROW_REPEAT_MS) return false;
    this.advance();
    return true;
  }

  /** @returns whether another VM began or renewed a trial */
  merge(count: number): boolean {
    if (count <= this.count) return false;
    this.count = count;
    this.lastAtMs = performance.now();
    return true;
  }

  /** Forgets when the last one was; the number stays, so that old rows don't count as new trials. */
  clear(): void {
    this.lastAtMs = -Infinity;
  }

  private advance(): void {
    this.count += 1;
    this.lastAtMs = performance.now();
  }
}
