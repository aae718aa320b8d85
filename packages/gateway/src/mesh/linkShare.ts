const BYTES_PER_MEGABIT = 125_000;

const SECOND_MS = 1_000;

/** Fraction of a VM's link that relayed data may take; the rest is for requests and answers. */
const RELAYED_FRACTION = 0.5;

/** Time of the share that may be sent at once. */
const MAX_BURST_MS = 100;

/** The share of this VM's link that relayed data may take. */
export class LinkShare {
  private readonly bytesPerMs: number;

  /** Bytes that may be sent now; negative if more was sent than the share allows. */
  private balance: number;

  private updatedAtMs = performance.now();

  /** @param linkMbps bandwidth of the link, in Mbit/s */
  constructor(linkMbps: number) {
    this.bytesPerMs = (linkMbps * BYTES_PER_MEGABIT * RELAYED_FRACTION) / SECOND_MS;
    this.balance = this.bytesPerMs * MAX_BURST_MS;
  }

  /** Records bytes that are sent, also if they exceed the share. */
  charge(bytes: number): void {
    this.update();
    this.balance -= bytes;
  }

  /** Time until the share allows to send again, in milliseconds. */
  computeWaitMs(): number {
    this.update();
    return Math.max(0, -this.balance / this.bytesPerMs);
  }

  /** Ends the wait for what was sent to followers that have been dropped. */
  reset(): void {
    this.update();
    this.balance = Math.max(0, this.balance);
  }

  private update(): void {
    const nowMs = performance.now();
    const earned = (nowMs - this.updatedAtMs) * this.bytesPerMs;
    this.balance = Math.min(this.bytesPerMs * MAX_BURST_MS, this.balance + earned);
    this.updatedAtMs = nowMs;
  }
}
