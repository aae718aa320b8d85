import type { UpstreamId } from '../ids.js';
import type { RandomGenerator } from '../log/backoff.js';
import { Breaker } from './breaker.js';
import { MAX_EJECTED_SHARE } from './constants.js';
import { EjectionPolicy } from './ejectionPolicy.js';
import type { BreakerState } from './ejectionPolicy.js';

/** Ejects upstreams that fail in a row, never more than a share of each group. */
export class CappedEjection extends EjectionPolicy {
  private readonly breakers = new Map<UpstreamId, Breaker>();

  constructor(private readonly generator: RandomGenerator) {
    super();
  }

  override setGroup(upstreamId: UpstreamId, group: string): void {
    if (this.breakers.get(upstreamId)?.group === group) return;
    this.remove(upstreamId);
    this.breakers.set(upstreamId, new Breaker(group, this.generator));
  }

  override remove(upstreamId: UpstreamId): void {
    const breaker = this.breakers.get(upstreamId);
    if (!breaker) return;
    this.breakers.delete(upstreamId);
    this.releaseExcess(breaker.group);
  }

  override getState(upstreamId: UpstreamId): BreakerState {
    return this.breakers.get(upstreamId)?.state ?? 'closed';
  }

  override noteStart(upstreamId: UpstreamId): void {
    this.breakers.get(upstreamId)?.noteStart();
  }

  override noteEnd(upstreamId: UpstreamId, outcome: 'success' | 'failure' | 'neutral'): void {
    const breaker = this.breakers.get(upstreamId);
    if (!breaker) return;
    if (outcome === 'success') breaker.close();
    else if (outcome === 'neutral') breaker.noteNeutral();
    else if (breaker.noteFailure() && this.canEject(breaker.group)) breaker.open();
  }

  private canEject(group: string): boolean {
    const members = this.listMembers(group);
    const ejected = members.filter((breaker) => breaker.isEjected).length;
    return ejected < Math.floor(members.length * MAX_EJECTED_SHARE);
  }

  /** Takes ejections back where the group has shrunk below what the cap allows. */
  private releaseExcess(group: string): void {
    const members = this.listMembers(group);
    const ejected = members.filter((breaker) => breaker.isEjected);
    const allowed = Math.floor(members.length * MAX_EJECTED_SHARE);
    ejected.slice(allowed).forEach((breaker) => breaker.close());
  }

  private listMembers(group: string): readonly Breaker[] {
    return [...this.breakers.values()].filter((breaker) => breaker.group === group);
  }
}
