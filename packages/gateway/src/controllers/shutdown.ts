import { SHUTDOWN_EXIT_FRACTION, SHUTDOWN_REFUSE_FRACTION } from '../constants.js';

/** Phases of a graceful shutdown, by the time since the signal. */
export class Shutdown {
  private startedAtMs: number | undefined;

  /** @param durationMs time from the signal until the process must have exited */
  constructor(private readonly durationMs: number) {}

  start(): void {
    this.startedAtMs ??= performance.now();
  }

  /** Whether the shutdown has started, so that callers should use other VMs. */
  get isLeaving(): boolean {
    return this.startedAtMs !== undefined;
  }

  /** Whether new requests are refused, because they might not complete in time. */
  get isRefusing(): boolean {
    return this.computeElapsedMs() >= this.durationMs * SHUTDOWN_REFUSE_FRACTION;
  }

  /** Whether the process must exit now. */
  get isOver(): boolean {
    return this.computeElapsedMs() >= this.durationMs * SHUTDOWN_EXIT_FRACTION;
  }

  private computeElapsedMs(): number {
    return this.startedAtMs === undefined ? -1 : performance.now() - this.startedAtMs;
  }
}
