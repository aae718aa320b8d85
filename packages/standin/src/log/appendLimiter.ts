const WINDOW_MS = 1000;

/** Sliding-window rate limiter for appends to the log. */
export class AppendLimiter {
  private timestampsMs: number[] = [];

  /** Counts one append unless the limit is reached. @returns whether it is allowed */
  tryAcquire(limitPerSecond: number): boolean {
    const nowMs = Date.now();
    this.timestampsMs = this.timestampsMs.filter((timestampMs) => timestampMs > nowMs - WINDOW_MS);
    if (this.timestampsMs.length >= limitPerSecond) return false;
    this.timestampsMs.push(nowMs);
    return true;
  }
}
