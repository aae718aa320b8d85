import { createBackoff } from '../log/backoff.js';
import type { Backoff, RandomGenerator } from '../log/backoff.js';
import {
  CONSECUTIVE_FAILURES_TO_OPEN,
  INITIAL_BREAKER_OPEN_MS,
  MAX_BREAKER_OPEN_MS,
} from './constants.js';
import type { BreakerState } from './ejectionPolicy.js';

/** Circuit breaker of one upstream. */
export class CircuitBreaker {
  private readonly backoff: Backoff;

  private consecutiveFailures = 0;

  private ejected = false;

  /** Time from which a probe is allowed, in Unix milliseconds. */
  private openUntilMs = 0;

  private isProbing = false;

  constructor(
    readonly group: string,
    generator: RandomGenerator,
  ) {
    this.backoff = createBackoff({
      initialMs: INITIAL_BREAKER_OPEN_MS,
      maxMs: MAX_BREAKER_OPEN_MS,
      generator,
    });
  }

  get isEjected(): boolean {
    return this.ejected;
  }

  get state(): BreakerState {
    if (!this.ejected) return 'closed';
    return this.isProbing || Date.now() < this.openUntilMs ? 'open' : 'half-open';
  }

  recordStart(): void {
    if (this.state === 'half-open') this.isProbing = true;
  }

  /** Records an outcome that is neither success nor failure of the upstream. */
  recordNeutral(): void {
    this.isProbing = false;
  }

  /** @returns whether the failure threshold for ejection has been reached */
  recordFailure(): boolean {
    this.consecutiveFailures += 1;
    // Attempts started before the ejection may still fail; only a failed probe extends it.
    if (this.ejected && this.isProbing) this.open();
    return !this.ejected && this.consecutiveFailures >= CONSECUTIVE_FAILURES_TO_OPEN;
  }

  open(): void {
    this.ejected = true;
    this.isProbing = false;
    this.openUntilMs = Date.now() + this.backoff.nextDelayMs();
  }

  close(): void {
    this.ejected = false;
    this.isProbing = false;
    this.consecutiveFailures = 0;
    this.backoff.reset();
  }
}
