import type { Logger } from '@goldcrestscale/runtime';

/** Tracks whether the log is available to one of its clients, and logs when that changes. */
export class LogHealthMonitor {
  private downSinceMs: number | undefined;

  constructor(
    private readonly topic: string,
    private readonly logger: Logger,
  ) {}

  get isDown(): boolean {
    return this.downSinceMs !== undefined;
  }

  /** @returns whether this call ends an outage */
  recordSuccess(): boolean {
    if (this.downSinceMs === undefined) return false;
    const downMs = Math.round(performance.now() - this.downSinceMs);
    this.downSinceMs = undefined;
    this.logger.info('shared log available again', { topic: this.topic, downMs });
    return true;
  }

  recordFailure(cause: unknown): void {
    if (this.downSinceMs !== undefined) return;
    this.downSinceMs = performance.now();
    this.logger.warn('shared log unavailable', { topic: this.topic, error: String(cause) });
  }
}
