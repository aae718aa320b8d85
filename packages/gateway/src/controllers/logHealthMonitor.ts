import type { Logger } from '@goldcrestscale/runtime';

/** Interval at which an outage that lasts is logged again, in milliseconds. */
const REPEAT_INTERVAL_MS = 5_000;

/** Tracks whether the log is available to one of its clients, and logs when that changes. */
export class LogHealthMonitor {
  private downSinceMs: number | undefined;

  private loggedAtMs = -Infinity;

  private failures = 0;

  constructor(
    private readonly topic: string,
    private readonly logger: Logger,
  ) {}

  get isDown(): boolean {
    return this.downSinceMs !== undefined;
  }

  /** Time since it became unavailable, in milliseconds; undefined while it is available. */
  get downMs(): number | undefined {
    return this.downSinceMs === undefined ? undefined : performance.now() - this.downSinceMs;
  }

  /** @returns whether this call ends an outage */
  recordSuccess(): boolean {
    if (this.downSinceMs === undefined) return false;
    const downMs = Math.round(performance.now() - this.downSinceMs);
    this.downSinceMs = undefined;
    this.failures = 0;
    this.logger.info('shared log available again', { topic: this.topic, downMs });
    return true;
  }

  recordFailure(cause: unknown): void {
    const { topic, downSinceMs } = this;
    const nowMs = performance.now();
    this.failures += 1;
    if (downSinceMs === undefined) {
      this.downSinceMs = nowMs;
      this.logger.warn('shared log unavailable', { topic, error: String(cause) });
    } else {
      if (nowMs - this.loggedAtMs < REPEAT_INTERVAL_MS) return;
      this.logger.warn('shared log still unavailable', {
        topic,
        downMs: Math.round(nowMs - downSinceMs),
        failures: this.failures,
        error: String(cause),
      });
    }
    this.loggedAtMs = nowMs;
  }
}
