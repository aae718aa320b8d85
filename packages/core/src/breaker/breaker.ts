import { createBackoff } from '../log/backoff.js';
import type { Backoff, RandomGenerator } from '../log/backoff.js';
import { FAILURES_TO_OPEN, OPEN_INITIAL_MS, OPEN_MAX_MS } from './constants.js';
import type { BreakerState } from './ejectionPolicy.js';

/** Failures of one upstream and whether it is ejected for them. */
export class Breaker {
  private readonly backoff: Backoff;

  private failures = 0;

  private ejected = false;

  /** Time at which a probe is allowed, by the runtime's clock. */
  private openUntilMs = 0;

  private probing = false;

  constructor(
    readonly group: string,
    generator: RandomGenerator,
  ) {
    this.backoff = createBackoff({ initialMs: OPEN_INITIAL_MS, maxMs: OPEN_MAX_MS, generator });
  }

  get isEjected(): boolean {
    return this.ejected;
  }

  get state(): BreakerState {
    if (!this.ejected) return 'closed';
    return this.probing || Date.now() < this.openUntilMs ? 'open' : 'half-open';
  }

  noteStart(): void {
    if (this.state === 'half-open') this.probing = true;
  }

  /** Notes an end that says nothing of the upstream. */
  noteNeutral(): void {
    this.probing = false;
  }

  /** @returns whether the upstream has failed often enough to be ejected */
  noteFailure(): boolean {
    this.failures += 1;
    // Attempts that began before the ejection end late; only the probe's failure extends it.
    if (this.ejected && this.probing) this.open();
    return !this.ejected && this.failures >= FAILURES_TO_OPEN;
  }

  open(): void {
    this.ejected = true;
    this.probing = false;
    this.openUntilMs = Date.now() + this.backoff.nextDelayMs();
  }

  close(): void {
    this.ejected = false;
    this.probing = false;
    this.failures = 0;
    this.backoff.reset();
  }
}
