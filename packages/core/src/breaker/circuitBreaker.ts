import type { UpstreamId } from '../ids.js';
import { createBackoff } from '../log/backoff.js';
import type { Backoff, RandomGenerator } from '../log/backoff.js';
import {
  CONSECUTIVE_FAILURES_TO_OPEN,
  FAILURE_RATE_WINDOW_MS,
  INITIAL_BREAKER_OPEN_MS,
  MAX_BREAKER_OPEN_MS,
  PROBE_TIMEOUT_MS,
} from './constants.js';
import type { BreakerState, EjectionReason } from './ejectionPolicy.js';
import { OutcomeWindow } from './outcomeWindow.js';

/** What is known of an ejection. */
export interface Ejection {
  readonly reason: EjectionReason;
  /** Monotonic time at which it began. */
  readonly sinceMs: number;
  readonly failedProbes: number;
}

/** Circuit breaker of one upstream; its group opens and closes it. */
export class CircuitBreaker {
  private readonly backoff: Backoff;

  /** Outcomes since the last return, recorded by the group. */
  readonly window = new OutcomeWindow();

  private failuresInRow = 0;

  private current: Ejection | undefined;

  /** Monotonic time from which a probe is allowed. */
  private openUntilMs = 0;

  /** Monotonic time of the last return; the next ejection is longer unless it is long ago. */
  private closedAtMs = -Infinity;

  /** Monotonic time at which the probe was sent; undefined without a probe. */
  private probedAtMs: number | undefined;

  constructor(
    readonly upstreamId: UpstreamId,
    readonly group: string,
    generator: RandomGenerator,
  ) {
    this.backoff = createBackoff({
      initialMs: INITIAL_BREAKER_OPEN_MS,
      maxMs: MAX_BREAKER_OPEN_MS,
      generator,
    });
  }

  /** The ejection in force. */
  get ejection(): Ejection | undefined {
    return this.current;
  }

  get isEjected(): boolean {
    return this.current !== undefined;
  }

  get consecutiveFailures(): number {
    return this.failuresInRow;
  }

  /** Whether the failure threshold for ejection has been reached. */
  get isFailing(): boolean {
    return this.failuresInRow >= CONSECUTIVE_FAILURES_TO_OPEN;
  }

  /** Time until the next probe is allowed, in milliseconds. */
  get openMs(): number {
    return this.isEjected ? Math.max(0, this.openUntilMs - performance.now()) : 0;
  }

  get state(): BreakerState {
    if (!this.isEjected) return 'closed';
    return this.isProbing || performance.now() < this.openUntilMs ? 'open' : 'half-open';
  }

  recordStart(): void {
    if (this.state === 'half-open') this.probedAtMs = performance.now();
  }

  /** @returns whether a probe succeeded; attempts started before the ejection may still succeed */
  recordSuccess(): boolean {
    if (this.isEjected) return this.isProbing;
    this.failuresInRow = 0;
    if (performance.now() - this.closedAtMs > FAILURE_RATE_WINDOW_MS) this.backoff.reset();
    return false;
  }

  /** Records an outcome that is neither success nor failure of the upstream. */
  recordNeutral(): void {
    this.probedAtMs = undefined;
  }

  /** @returns whether a probe failed; attempts started before the ejection may still fail */
  recordFailure(): boolean {
    this.failuresInRow += 1;
    return this.isEjected && this.isProbing;
  }

  /** Ejects the upstream, or keeps it ejected for longer after a failed probe. */
  open(reason: EjectionReason): void {
    this.current = this.current
      ? { ...this.current, failedProbes: this.current.failedProbes + 1 }
      : { reason, sinceMs: performance.now(), failedProbes: 0 };
    this.probedAtMs = undefined;
    this.openUntilMs = performance.now() + this.backoff.nextDelayMs();
  }

  close(): void {
    this.current = undefined;
    this.probedAtMs = undefined;
    this.failuresInRow = 0;
    this.window.clear();
    this.closedAtMs = performance.now();
  }

  private get isProbing(): boolean {
    return this.probedAtMs !== undefined && performance.now() - this.probedAtMs < PROBE_TIMEOUT_MS;
  }
}
