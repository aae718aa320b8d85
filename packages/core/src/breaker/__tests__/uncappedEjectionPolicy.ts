import { CappedEjectionPolicy } from '../cappedEjectionPolicy.js';
import type { BreakerState } from '../ejectionPolicy.js';
import type { UpstreamId } from '../../ids.js';

/** Ejects after consecutive failures, without a cap and without probes. */
export class UncappedEjectionPolicy extends CappedEjectionPolicy {
  private readonly failures = new Map<UpstreamId, number>();

  override recordOutcome(upstreamId: UpstreamId, outcome: 'success' | 'failure' | 'neutral'): void {
    const failures = outcome === 'failure' ? (this.failures.get(upstreamId) ?? 0) + 1 : 0;
    this.failures.set(upstreamId, failures);
  }

  override getState(upstreamId: UpstreamId): BreakerState {
    return (this.failures.get(upstreamId) ?? 0) >= 5 ? 'open' : 'closed';
  }
}
