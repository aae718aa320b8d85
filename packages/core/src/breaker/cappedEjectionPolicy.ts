import type { UpstreamId } from '../ids.js';
import type { RandomGenerator } from '../log/backoff.js';
import { CircuitBreaker } from './circuitBreaker.js';
import {
  CONSECUTIVE_FAILURES_TO_OPEN,
  MAX_EJECTED_FRACTION,
  MAX_FAILURE_RATE_EXCESS,
  MIN_FAILURE_RATE_OUTCOMES,
} from './constants.js';
import { EjectionPolicy } from './ejectionPolicy.js';
import type { BreakerState, EjectionChange, EjectionReason } from './ejectionPolicy.js';
import type { OutcomeCounts } from './outcomeWindow.js';

const computeRate = ({ outcomes, failures }: OutcomeCounts): number =>
  outcomes === 0 ? 0 : failures / outcomes;

/**
 * Ejects upstreams after consecutive failures, or for a failure rate that is far above that of the
 * rest of their group, up to a maximum fraction of each group.
 */
export class CappedEjectionPolicy extends EjectionPolicy {
  private readonly breakers = new Map<UpstreamId, CircuitBreaker>();

  /** @param onChange called when an upstream is ejected, fails a probe, is taken back, or leaves */
  constructor(
    private readonly generator: RandomGenerator,
    private readonly onChange: (change: EjectionChange) => void = () => undefined,
  ) {
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
    if (breaker.isEjected) this.close(breaker, 'left');
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
    if (outcome === 'neutral') breaker.recordNeutral();
    else if (outcome === 'failure') this.recordFailure(breaker);
    else if (breaker.recordSuccess()) this.close(breaker, 'recovered');
  }

  private recordFailure(breaker: CircuitBreaker): void {
    const hasFailedProbe = breaker.recordFailure();
    if (hasFailedProbe) this.open(breaker, 'failed probe');
    if (breaker.isEjected) return;
    const reason = this.findReason(breaker);
    if (reason !== undefined && this.canEject(breaker.group)) this.open(breaker, reason);
  }

  /** Finds out why an upstream should be ejected; undefined if it should not. */
  private findReason(breaker: CircuitBreaker): EjectionReason | undefined {
    const rest = this.countOthers(breaker);
    // If all fail alike, it is the request, the key or the network, and nothing is better elsewhere.
    const failsAlike =
      rest.outcomes >= CONSECUTIVE_FAILURES_TO_OPEN &&
      computeRate(rest) >= 1 - MAX_FAILURE_RATE_EXCESS;
    if (breaker.isFailing) return failsAlike ? undefined : 'consecutive failures';
    const counts = breaker.countOutcomes();
    const hasEnough = Math.min(counts.outcomes, rest.outcomes) >= MIN_FAILURE_RATE_OUTCOMES;
    const excess = computeRate(counts) - computeRate(rest);
    return hasEnough && excess > MAX_FAILURE_RATE_EXCESS ? 'failure rate' : undefined;
  }

  /** Counts the outcomes of the members of its group that are not ejected. */
  private countOthers(breaker: CircuitBreaker): OutcomeCounts {
    return this.listMembers(breaker.group)
      .filter((member) => member !== breaker && !member.isEjected)
      .map((member) => member.countOutcomes())
      .reduce(
        (sum, { outcomes, failures }) => ({
          outcomes: sum.outcomes + outcomes,
          failures: sum.failures + failures,
        }),
        { outcomes: 0, failures: 0 },
      );
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
    ejected.slice(maxEjected).forEach((breaker) => this.close(breaker, 'group too small'));
  }

  private open(breaker: CircuitBreaker, reason: EjectionReason): void {
    breaker.open();
    this.reportChange(breaker, reason);
  }

  private close(breaker: CircuitBreaker, reason: EjectionReason): void {
    breaker.close();
    this.reportChange(breaker, reason);
  }

  private reportChange(breaker: CircuitBreaker, reason: EjectionReason): void {
    const { upstreamId, group, isEjected, consecutiveFailures, openMs } = breaker;
    this.onChange({ upstreamId, group, isEjected, reason, consecutiveFailures, openMs });
  }

  private listMembers(group: string): readonly CircuitBreaker[] {
    return [...this.breakers.values()].filter((breaker) => breaker.group === group);
  }
}
