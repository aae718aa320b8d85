import type { UpstreamBoot } from '../fleet/index.js';
import type { UpstreamId, VmId } from '../ids.js';
import { MAX_PRECEDENCE_WAIT_MS, PRECEDENCE_FRACTION, PRECEDENCE_MS } from './constants.js';
import type { PermitRequest, PermitDecision } from './permit.js';

const MS_PER_SECOND = 1_000;

interface GrantedUpstream {
  readonly startedAtMs: number;
  /** Monotonic time from which the last granted request may be sent. */
  lastStartMs: number;
  /** Monotonic time from which the next request may be sent, at the rate of the last grant. */
  freeAtMs: number;
  /** Monotonic time of the last denial by class. */
  readonly deniedAtMs: Map<number, number>;
  readonly grantsByVm: Map<VmId, number>;
}

/** A free permit is kept for a moment for more urgent classes that were denied one recently. */
const computePrecedenceMs = (
  { deniedAtMs }: GrantedUpstream,
  { priority }: PermitRequest,
  intervalMs: number,
): number => {
  const oldestMs = performance.now() - PRECEDENCE_MS;
  const hasUrgentDemand = [...deniedAtMs].some(
    ([deniedPriority, atMs]) => deniedPriority < priority && atMs > oldestMs,
  );
  return hasUrgentDemand ? Math.min(MAX_PRECEDENCE_WAIT_MS, intervalMs * PRECEDENCE_FRACTION) : 0;
};

/**
 * Grants permits for an upstream at a given rate (generic cell rate algorithm); one that nobody
 * requested in time can be made up for. Each permit is for one request that waits for it, so the rate
 * goes to the VMs that have requests.
 */
export class RateGranter {
  private readonly upstreams = new Map<UpstreamId, GrantedUpstream>();

  /** @param requestsPerSecond rate that this granter may grant to all VMs together */
  grant(requester: VmId, request: PermitRequest, requestsPerSecond: number): PermitDecision {
    const nowMs = performance.now();
    const state = this.getState(request);
    const intervalMs = MS_PER_SECOND / requestsPerSecond;
    // A lower rate may have delayed the next request for longer.
    const freeAtMs = Math.min(state.freeAtMs, state.lastStartMs + intervalMs);
    const startMs = Math.max(nowMs, freeAtMs + computePrecedenceMs(state, request, intervalMs));
    const waitMs = startMs - nowMs;
    if (waitMs > request.maxWaitMs) {
      state.deniedAtMs.set(request.priority, nowMs);
      return { retryAfterMs: waitMs - request.maxWaitMs };
    }
    state.lastStartMs = startMs;
    state.freeAtMs = Math.max(freeAtMs, nowMs - intervalMs) + intervalMs;
    state.grantsByVm.set(requester, (state.grantsByVm.get(requester) ?? 0) + 1);
    const nextAfterMs = Math.max(0, state.freeAtMs - nowMs - request.maxWaitMs);
    return { startsInMs: waitMs, nextAfterMs };
  }

  /** Lists how many requests it has granted to each VM. */
  listGrants({ upstreamId }: UpstreamBoot): Readonly<Record<string, number>> {
    return Object.fromEntries(this.upstreams.get(upstreamId)?.grantsByVm ?? []);
  }

  /** Forgets the upstreams that are not in a list. */
  prune(upstreamIds: ReadonlySet<UpstreamId>): void {
    this.upstreams.forEach((_state, upstreamId) => {
      if (!upstreamIds.has(upstreamId)) this.upstreams.delete(upstreamId);
    });
  }

  private getState({ upstreamId, startedAtMs }: UpstreamBoot): GrantedUpstream {
    const known = this.upstreams.get(upstreamId);
    if (known?.startedAtMs === startedAtMs) return known;
    const created: GrantedUpstream = {
      startedAtMs,
      lastStartMs: -Infinity,
      freeAtMs: -Infinity,
      deniedAtMs: new Map(),
      grantsByVm: new Map(),
    };
    this.upstreams.set(upstreamId, created);
    return created;
  }
}
