import type { UpstreamId } from '../../ids.js';
import type { RandomGenerator } from '../../log/backoff.js';
import { CircuitBreaker } from '../circuitBreaker.js';
import {
  CONSECUTIVE_FAILURES_TO_OPEN,
  FAILURE_RATE_WINDOW_MS,
  MAX_EJECTED_FRACTION,
  MAX_FAILURE_RATE_EXCESS,
  MIN_FAILURE_RATE_OUTCOMES,
} from '../constants.js';
import { EjectionPolicy } from '../ejectionPolicy.js';
import type { BreakerState } from '../ejectionPolicy.js';

interface LoggedOutcome {
  readonly breaker: CircuitBreaker;
  readonly halfWindow: number;
  readonly isFailure: boolean;
}

const countHalfWindows = (): number => Math.floor(performance.now() / (FAILURE_RATE_WINDOW_MS / 2));

/** The same decisions, from a list of all outcomes and a walk over all upstreams. */
export class PlainEjectionPolicy extends EjectionPolicy {
  private readonly breakers = new Map<UpstreamId, CircuitBreaker>();

  private outcomes: LoggedOutcome[] = [];

  constructor(private readonly generator: RandomGenerator) {
    super();
  }

  override setGroup(upstreamId: UpstreamId, group: string): void {
    if (this.breakers.get(upstreamId)?.group === group) return;
    this.remove(upstreamId);
    this.breakers.set(upstreamId, new CircuitBreaker(upstreamId, group, this.generator));
  }

  override remove(upstreamId: UpstreamId): void {
    const breaker = this.breakers.get(upstreamId);
    if (!breaker) return;
    this.breakers.delete(upstreamId);
    const members = this.listMembers(breaker.group);
    members
      .filter(({ isEjected }) => isEjected)
      .slice(Math.floor(members.length * MAX_EJECTED_FRACTION))
      .forEach((excess) => this.close(excess));
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
    if (outcome === 'neutral') {
      breaker.recordNeutral();
      return;
    }
    const isFailure = outcome === 'failure';
    this.outcomes.push({ breaker, halfWindow: countHalfWindows(), isFailure });
    if (!isFailure) {
      if (breaker.recordSuccess()) this.close(breaker);
      return;
    }
    if (breaker.recordFailure()) breaker.open('failed probe');
    if (!breaker.isEjected && this.shouldEject(breaker)) breaker.open('consecutive failures');
  }

  private shouldEject(breaker: CircuitBreaker): boolean {
    const members = this.listMembers(breaker.group);
    const ejected = members.filter(({ isEjected }) => isEjected);
    if (ejected.length >= Math.floor(members.length * MAX_EJECTED_FRACTION)) return false;
    const own = this.count([breaker]);
    const rest = this.count(members.filter((one) => one !== breaker && !one.isEjected));
    if (breaker.isFailing) {
      const failsAlike = rest.rate >= 1 - MAX_FAILURE_RATE_EXCESS;
      return rest.outcomes < CONSECUTIVE_FAILURES_TO_OPEN || !failsAlike;
    }
    return (
      own.outcomes >= MIN_FAILURE_RATE_OUTCOMES &&
      rest.outcomes >= MIN_FAILURE_RATE_OUTCOMES &&
      own.rate - rest.rate > MAX_FAILURE_RATE_EXCESS
    );
  }

  private count(breakers: readonly CircuitBreaker[]) {
    const counted = this.outcomes.filter(
      ({ breaker, halfWindow }) =>
        breakers.includes(breaker) && halfWindow >= countHalfWindows() - 1,
    );
    const failures = counted.filter(({ isFailure }) => isFailure).length;
    return { outcomes: counted.length, rate: counted.length === 0 ? 0 : failures / counted.length };
  }

  private close(breaker: CircuitBreaker): void {
    breaker.close();
    this.outcomes = this.outcomes.filter((one) => one.breaker !== breaker);
  }

  private listMembers(group: string): readonly CircuitBreaker[] {
    return [...this.breakers.values()].filter((breaker) => breaker.group === group);
  }
}
