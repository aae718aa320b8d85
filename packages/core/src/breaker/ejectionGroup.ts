import type { CircuitBreaker } from './circuitBreaker.js';
import { MAX_EJECTED_FRACTION } from './constants.js';
import { OutcomeWindow, addCounts } from './outcomeWindow.js';
import type { EjectionReason } from './ejectionPolicy.js';
import type { OutcomeCounts } from './outcomeWindow.js';

/**
 * Interchangeable upstreams, with running sums of their outcomes, so that a failure costs the same in
 * groups of any size.
 */
export class EjectionGroup {
  private readonly members = new Set<CircuitBreaker>();

  /** Outcomes of the members that are not ejected. */
  private readonly outcomes = new OutcomeWindow();

  private ejected = 0;

  constructor(readonly name: string) {}

  get isEmpty(): boolean {
    return this.members.size === 0;
  }

  /** Whether one more member may be ejected. */
  get canEject(): boolean {
    return this.ejected < this.maxEjected;
  }

  add(breaker: CircuitBreaker): void {
    this.members.add(breaker);
  }

  /** Removes a member that is not ejected. */
  remove(breaker: CircuitBreaker): void {
    this.members.delete(breaker);
    this.outcomes.subtract(breaker.window, performance.now());
  }

  recordOutcome(breaker: CircuitBreaker, isFailure: boolean): void {
    const nowMs = performance.now();
    breaker.window.record(isFailure, nowMs);
    if (!breaker.isEjected) this.outcomes.record(isFailure, nowMs);
  }

  /** Counts the outcomes of a member that is not ejected, and those of the rest that is not. */
  countOutcomes({ window }: CircuitBreaker): {
    readonly own: OutcomeCounts;
    readonly rest: OutcomeCounts;
  } {
    const nowMs = performance.now();
    const own = window.count(nowMs);
    return { own, rest: addCounts(this.outcomes.count(nowMs), own, -1) };
  }

  /** Ejects a member, or keeps it ejected for longer. */
  open(breaker: CircuitBreaker, reason: EjectionReason): void {
    if (!breaker.isEjected) {
      this.ejected += 1;
      this.outcomes.subtract(breaker.window, performance.now());
    }
    breaker.open(reason);
  }

  /** Takes an ejected member back, without the outcomes so far. */
  close(breaker: CircuitBreaker): void {
    this.ejected -= 1;
    breaker.close();
  }

  /** Lists the ejected members above the cap, which exist after the group has shrunk. */
  listExcess(): readonly CircuitBreaker[] {
    if (this.ejected <= this.maxEjected) return [];
    return [...this.members].filter(({ isEjected }) => isEjected).slice(this.maxEjected);
  }

  private get maxEjected(): number {
    return Math.floor(this.members.size * MAX_EJECTED_FRACTION);
  }
}
