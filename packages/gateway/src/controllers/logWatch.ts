import type { Logger } from '@goldcrestscale/runtime';

/** Notes whether the log answers one of its readers, and writes a line when that changes. */
export class LogWatch {
  private downSinceMs: number | undefined;

  constructor(
    private readonly topic: string,
    private readonly logger: Logger,
  ) {}

  get isDown(): boolean {
    return this.downSinceMs !== undefined;
  }

  /** @returns whether the log was down until now */
  noteSuccess(): boolean {
    if (this.downSinceMs === undefined) return false;
    const downMs = Math.round(performance.now() - this.downSinceMs);
    this.downSinceMs = undefined;
    this.logger.info('log answers again', { topic: this.topic, downMs });
    return true;
  }

  noteFailure(cause: unknown): void {
    if (this.downSinceMs !== undefined) return;
    this.downSinceMs = performance.now();
    this.logger.warn('log does not answer', { topic: this.topic, error: String(cause) });
  }
}
