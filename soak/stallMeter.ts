const INTERVAL_MS = 10;

/** Later ticks than this count as a stall. */
const LATE_MS = 20;

/** Records the spans in which this process stood still. */
export class StallMeter {
  readonly stalls: { readonly fromMs: number; readonly toMs: number }[] = [];

  private timer: NodeJS.Timeout | undefined;

  start(): void {
    let lastMs = performance.now();
    this.timer = setInterval(() => {
      const nowMs = performance.now();
      const dueMs = lastMs + INTERVAL_MS;
      if (nowMs - dueMs > LATE_MS) this.stalls.push({ fromMs: dueMs, toMs: nowMs });
      lastMs = nowMs;
    }, INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }
}
