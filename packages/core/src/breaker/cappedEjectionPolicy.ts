import type { UpstreamId } from '../ids.js';
import type { RandomGenerator } from '../log/backoff.js';
import { CircuitBreaker } from './circuitBreaker.js';
import { MAX_EJECTED_FRACTION } from './constants.js';
import { EjectionPolicy } from './ejectionPolicy.js';
import type { BreakerState } from './ejectionPolicy.js';

/** Ejects upstreams after consecutive failures, up to a maximum fraction of each group. */
export class CappedEjectionPolicy extends EjectionPolicy {
  private readonly breakers = new Map<UpstreamId, CircuitBreaker>();

  constructor(private readonly generator: RandomGenerator) {
    super();
  }

  override setGroup(upstreamId: UpstreamId, group: string): void {
    if (this.breakers.get(upstreamId)?.group === group) return;
    this.remove(upstreamId);
    this.breakers.set(upstreamId, new CircuitBreaker(group, this.generator));
  }

  override remove(upstreamId: UpstreamId): void {
    const breaker = this.breakers.get(upstreamId);
    if (!breaker) return;
    this.breakers.delete(upstreamId);
    this.closeExcessBreakers(breaker.group);
  }

  override getState(upstreamId: UpstreamId): BreakerState {
    return this.breakers.get(upstreamId)?.state ?? 'closed';
  }

  override recordStart(upstreamId: UpstreamId): void {
    this.breakers.get(upstreamId)?.recordStart();
  }

  override recordOutcome(upstreamId: UpstreamId, outcome: 'success' | 'failure' | 'neutral'): void {
    const breaker = this.breakers.get(upstreamId);
    if (!breaker) return;
    if (outcome === 'success') breaker.close();
    else if (outcome === 'neutral') breaker.recordNeutral();
    else if (breaker.recordFailure() && this.canEject(breaker.group)) breaker.open();
  }

  private canEject(group: string): boolean {
    const members = this.listMembers(group);
    const ejected = members.filter((breaker) => breaker.isEjected).length;
    return ejected < Math.floor(members.length * MAX_EJECTED_FRACTION);
  }

  /** Closes breakers that exceed the ejection cap after the group has shrunk. */
  private closeExcessBreakers(group: string): void {
    const members = this.listMembers(group);
    const ejected = members.filter((breaker) => breaker.isEjected);
    const maxEjected = Math.floor(members.length * MAX_EJECTED_FRACTION);
    ejected.slice(maxEjected).forEach((breaker) => breaker.close());
  }

  private listMembers(group: string): readonly CircuitBreaker[] {
    return [...this.breakers.values()].filter((breaker) => breaker.group === group);
  }
}
