/** When the parts of an answer went out, by the monotonic clock. */
export class AnswerTimes {
  /** First part of the body; undefined before it. */
  firstAtMs: number | undefined;

  /** Longest time between two parts, in milliseconds. */
  longestPauseMs = 0;

  private lastAtMs = 0;

  note(): void {
    const nowMs = performance.now();
    if (this.firstAtMs === undefined) this.firstAtMs = nowMs;
    else this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - this.lastAtMs);
    this.lastAtMs = nowMs;
  }
}
