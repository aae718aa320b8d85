/** What is known of a store whose blocks are fetched. Its field names appear in the log. */
export interface EpochProof {
  readonly epoch: number;
  /** Time since the store was known to be in this epoch, in milliseconds. */
  readonly ageMs: number;
}

/** Keeps track of the epoch of a store, which begins empty with each of its starts. */
export class EpochWindow {
  private lastEpoch: number | undefined;

  private confirmedMs: number | undefined;

  /** The last epoch that was seen, also while the store does not respond. */
  get epoch(): number | undefined {
    return this.lastEpoch;
  }

  /** Newest time on the servers' clock at which the store was in this epoch. */
  get confirmedAtMs(): number | undefined {
    return this.confirmedMs;
  }

  /** Records which epoch the store is in, or was in when another VM read it. */
  recordEpoch(epoch: number): void {
    if (epoch === this.lastEpoch) return;
    this.lastEpoch = epoch;
    this.confirmedMs = undefined;
  }

  /** @param clockMs time on the servers' clock at which the store was in the last epoch */
  recordConfirmation(clockMs: number): void {
    this.confirmedMs = Math.max(clockMs, this.confirmedMs ?? -Infinity);
  }
}
