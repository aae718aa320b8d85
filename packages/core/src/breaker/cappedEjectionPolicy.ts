import type { UpstreamId } from '../ids.js';
import type { RandomGenerator } from '../log/backoff.js';
import { CircuitBreaker } from './circuitBreaker.js';
import {
  CONSECUTIVE_FAILURES_TO_OPEN,
  MAX_FAILURE_RATE_EXCESS,
  MIN_FAILURE_RATE_OUTCOMES,
} from './constants.js';
import { EjectionGroup } from './ejectionGroup.js';
import { EjectionPolicy } from './ejectionPolicy.js';
import type {
  BreakerState,
  EjectedUpstream,
  EjectionChange,
  EjectionReason,
} from './ejectionPolicy.js';
import type { OutcomeCounts } from './outcomeWindow.js';

const computeRate = ({ outcomes, failures }: OutcomeCounts): number =>
  outcomes === 0 ? 0 : failures / outcomes;

interface Member {
  readonly breaker: CircuitBreaker;
  readonly group: EjectionGroup;
}

/** Finds out why an upstream should be ejected; undefined if it should not. */
const findReason = ({ breaker, group }: Member): EjectionReason | undefined => {
  const { own, rest } = group.countOutcomes(breaker);
  // If all fail alike, it is the request, the key or the network, and nothing is better elsewhere.
  const failsAlike =
    rest.outcomes >= CONSECUTIVE_FAILURES_TO_OPEN &&
    computeRate(rest) >= 1 - MAX_FAILURE_RATE_EXCESS;
  if (breaker.isFailing) return failsAlike ? undefined : 'consecutive failures';
  const hasEnough = Math.min(own.outcomes, rest.outcomes) >= MIN_FAILURE_RATE_OUTCOMES;
  const excess = computeRate(own) - computeRate(rest);
  return hasEnough && excess > MAX_FAILURE_RATE_EXCESS ? 'failure rate' : undefined;
};

/**
 * Ejects upstreams after consecutive failures, or for a failure rate that is far above that of the
 * rest of their group, up to a maximum fraction of each group.
 */
export class CappedEjectionPolicy extends EjectionPolicy {
  private readonly members = new Map<UpstreamId, Member>();

  private readonly groups = new Map<string, EjectionGroup>();

  /** @param onChange called when an upstream is ejected, fails a probe, is taken back, or leaves */
  constructor(
    private readonly generator: RandomGenerator,
    private readonly onChange: (change: EjectionChange) => void = () => undefined,
  ) {
    super();
  }

  override setGroup(upstreamId: UpstreamId, groupName: string): void {
    if (this.members.get(upstreamId)?.group.name === groupName) return;
    this.remove(upstreamId);
    const group = this.groups.get(groupName) ?? new EjectionGroup(groupName);
    const breaker = new CircuitBreaker(upstreamId, groupName, this.generator);
    this.groups.set(groupName, group);
    this.members.set(upstreamId, { breaker, group });
    group.add(breaker);
  }

  override remove(upstreamId: UpstreamId): void {
    const member = this.members.get(upstreamId);
    if (!member) return;
    const { breaker, group } = member;
    if (breaker.isEjected) this.close(member, 'left');
    this.members.delete(upstreamId);
    group.remove(breaker);
    if (group.isEmpty) this.groups.delete(group.name);
    group
      .listExcess()
      .forEach((excess) => this.close({ breaker: excess, group }, 'group too small'));
  }

  override getState(upstreamId: UpstreamId): BreakerState {
    return this.members.get(upstreamId)?.breaker.state ?? 'closed';
  }

  override recordStart(upstreamId: UpstreamId): void {
    this.members.get(upstreamId)?.breaker.recordStart();
  }

  override recordOutcome(upstreamId: UpstreamId, outcome: 'success' | 'failure' | 'neutral'): void {
    const member = this.members.get(upstreamId);
    if (!member) return;
    const { breaker, group } = member;
    if (outcome === 'neutral') {
      breaker.recordNeutral();
      return;
    }
    group.recordOutcome(breaker, outcome === 'failure');
    if (outcome === 'failure') this.recordFailure(member);
    else if (breaker.recordSuccess()) this.close(member, 'recovered');
  }

  /** Lists the ejected upstreams, for operators. */
  listEjected(): readonly EjectedUpstream[] {
    const nowMs = performance.now();
    return [...this.members.values()].flatMap(({ breaker }) => {
      const { upstreamId, group, state, ejection, openMs, consecutiveFailures } = breaker;
      if (!ejection) return [];
      const { reason, sinceMs, failedProbes } = ejection;
      const ejectedMs = nowMs - sinceMs;
      const times = { ejectedMs, openMs, consecutiveFailures, failedProbes };
      return [{ upstreamId, group, state, reason, ...times }];
    });
  }

  private recordFailure(member: Member): void {
    const { breaker, group } = member;
    const hasFailedProbe = breaker.recordFailure();
    if (hasFailedProbe) this.open(member, 'failed probe');
    if (breaker.isEjected || !group.canEject) return;
    const reason = findReason(member);
    if (reason !== undefined) this.open(member, reason);
  }

  private open({ breaker, group }: Member, reason: EjectionReason): void {
    group.open(breaker, reason);
    this.reportChange(breaker, reason);
  }

  private close({ breaker, group }: Member, reason: EjectionReason): void {
    group.close(breaker);
    this.reportChange(breaker, reason);
  }

  private reportChange(breaker: CircuitBreaker, reason: EjectionReason): void {
    const { upstreamId, group, isEjected, consecutiveFailures, openMs } = breaker;
    this.onChange({ upstreamId, group, isEjected, reason, consecutiveFailures, openMs });
  }
}
