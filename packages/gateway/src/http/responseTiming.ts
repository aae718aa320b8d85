/** Send times of the body chunks of a response; monotonic time. */
export class ResponseTiming {
  /** Time of the first body chunk; undefined before it is sent. */
  firstChunkAtMs: number | undefined;

  /** Longest gap between two consecutive chunks. */
  longestPauseMs = 0;

  private lastChunkAtMs = 0;

  note(): void {
    const nowMs = performance.now();
    if (this.firstChunkAtMs === undefined) this.firstChunkAtMs = nowMs;
    else this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - this.lastChunkAtMs);
    this.lastChunkAtMs = nowMs;
  }
}
