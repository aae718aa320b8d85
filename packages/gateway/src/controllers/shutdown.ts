import { EXIT_SHARE, REFUSE_SHARE } from '../constants.js';

/** The phases of a shutdown, by the time since its signal. */
export class Shutdown {
  private startedAtMs: number | undefined;

  /** @param durationMs time from the signal to the end of the process */
  constructor(private readonly durationMs: number) {}

  start(): void {
    this.startedAtMs ??= performance.now();
  }

  /** Whether this VM takes no new callers. */
  get isLeaving(): boolean {
    return this.startedAtMs !== undefined;
  }

  /** Whether a new request could outlast the process. */
  get isRefusing(): boolean {
    return this.computeElapsed() >= this.durationMs * REFUSE_SHARE;
  }

  /** Whether the process must end now. */
  get isOver(): boolean {
    return this.computeElapsed() >= this.durationMs * EXIT_SHARE;
  }

  private computeElapsed(): number {
    return this.startedAtMs === undefined ? -1 : performance.now() - this.startedAtMs;
  }
}
