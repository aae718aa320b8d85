/** When the parts of an answer went out, by the monotonic clock. */
export class ResponseTiming {
  /** First part of the body; undefined before it. */
  firstChunkAtMs: number | undefined;

  /** Longest time between two parts, in milliseconds. */
  longestPauseMs = 0;

  private lastChunkAtMs = 0;

  note(): void {
    const nowMs = performance.now();
    if (this.firstChunkAtMs === undefined) this.firstChunkAtMs = nowMs;
    else this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - this.lastChunkAtMs);
    this.lastChunkAtMs = nowMs;
  }
}
