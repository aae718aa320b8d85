import { computeMinElapsedMs, readClocks } from '../lease/index.js';
import type { ClockReading } from '../lease/index.js';
import { CLOCK_DRIFT_MARGIN_MS, FETCH_WINDOW_MS, MAX_SAVE_AGE_MS } from './constants.js';

/** What is known of a store whose blocks are fetched. Its field names appear in the log. */
export interface EpochProof {
  readonly epoch: number;
  /** Time since the store was known to be in this epoch, in milliseconds. */
  readonly ageMs: number;
}

/**
 * Keeps saves into a store that has restarted apart from fetches of what it held before. A store starts
 * empty and with a new epoch; a VM that has not learned so would fetch a part while another VM has it
 * saved again.
 *
 * Every fetch ends within the fetch window, which starts at the last time at which the store was known
 * to be in the epoch that holds the part. A VM has parts saved only once it has known of an epoch for
 * longer than that, and while it knows that the store is still in it. So none waits to hear from another.
 */
export class EpochWindow {
  private lastEpoch: number | undefined;

  private learnedAt: ClockReading | undefined;

  private confirmedMs: number | undefined;

  /** The last epoch that was seen, also while the store does not respond. */
  get epoch(): number | undefined {
    return this.lastEpoch;
  }

  /** Newest time on the servers' clock at which the store was in this epoch; undefined if none is known. */
  get confirmedAtMs(): number | undefined {
    return this.confirmedMs;
  }

  /** Time on the servers' clock at which every fetch from the store must have ended. */
  get fetchLimitMs(): number {
    return (this.confirmedMs ?? -Infinity) + FETCH_WINDOW_MS;
  }

  /**
   * Whether parts may be saved. The first epoch that this VM learns of may be as new as any other: it
   * does not know what the store held before.
   *
   * @param serverTimeMs time on the servers' clock
   */
  canSave(serverTimeMs: number): boolean {
    if (!this.learnedAt || serverTimeMs - (this.confirmedMs ?? -Infinity) > MAX_SAVE_AGE_MS) {
      return false;
    }
    return computeMinElapsedMs(this.learnedAt) > FETCH_WINDOW_MS + CLOCK_DRIFT_MARGIN_MS;
  }

  /** Records which epoch the store is in, or was in when another VM read it. */
  recordEpoch(epoch: number): void {
    if (epoch === this.lastEpoch) return;
    this.lastEpoch = epoch;
    this.learnedAt = readClocks();
    this.confirmedMs = undefined;
  }

  /** @param clockMs time on the servers' clock at which the store was in the last epoch */
  recordConfirmation(clockMs: number): void {
    // Also if it is older: the servers' clock may have been set back.
    this.confirmedMs = clockMs;
  }
}
