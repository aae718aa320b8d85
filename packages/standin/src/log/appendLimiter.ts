const WINDOW_MS = 1000;

/** Counts appends over the last second against the log's limit. */
export class AppendLimiter {
  private times: number[] = [];

  /** Takes one append, unless the limit is reached. */
  tryAcquire(limitPerSecond: number): boolean {
    const now = Date.now();
    this.times = this.times.filter((time) => time > now - WINDOW_MS);
    if (this.times.length >= limitPerSecond) return false;
    this.times.push(now);
    return true;
  }
}
