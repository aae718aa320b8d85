import type { UpstreamBoot } from '../fleet/index.js';
import type { UpstreamId, VmId } from '../ids.js';
import { sleep } from '../log/index.js';
import type { AnnouncedRates } from './announcedRates.js';
import {
  PERMIT_REPLY_TIMEOUT_MS,
  FIRST_GRANTER_FRACTION,
  GRANTER_SETTLE_MS,
  PERMIT_USE_MS,
  MAX_PENDING_PERMIT_REQUESTS,
  NO_GRANTER_PAUSE_MS,
  SECOND_GRANTER_FRACTION,
  SILENT_GRANTER_PAUSE_MS,
} from './constants.js';
import { GranterRanking } from './granterRanking.js';
import type { PermitRequest, PermitDecision, PermitReply } from './permit.js';
import { RateGranter } from './rateGranter.js';

/** Dependencies of the limits. */
export interface FleetRateLimitsOptions {
  readonly self: VmId;
  readonly rates: AnnouncedRates;
  /** Lists the VMs that accept callers. */
  readonly listServing: () => readonly VmId[];
  /** Sends a request for a permit to another VM; it or the reply may be lost. */
  readonly sendPermitRequest: (granter: VmId, request: PermitRequest) => void;
}

/** What a caller's request that needs a permit can bear. */
export interface RateDemand {
  /** Time for which the request can wait, in milliseconds. */
  readonly maxWaitMs: number;
  /** Class of the request; 0 is the most urgent. */
  readonly priority: number;
}

/** State of a limited upstream, for operators. */
export interface RateLimitDump extends UpstreamBoot {
  readonly requestsPerSecond: number;
  /** Time for which this VM has known of a limit. */
  readonly ageMs: number;
  readonly granters: readonly VmId[];
  /** Requests that this VM has granted, by VM. */
  readonly grants: Readonly<Record<string, number>>;
  /** Time until a permit may be requested again; 0 if it may be now. */
  readonly retryAfterMs: number;
}

interface RequesterState {
  readonly startedAtMs: number;
  /** Monotonic times at which unused grants expire. */
  readonly permitsUntilMs: number[];
  pendingRequests: number;
  /** Monotonic time before which a request for a permit would be denied. */
  pausedUntilMs: number;
  /** Rate that was announced when that was decided. */
  pausedAtRate: number;
}

/** Limits the pause after the decision of a stand-in, since the first granter may be back by then. */
const clampPause = (decision: PermitDecision): PermitDecision =>
  'startsInMs' in decision
    ? { ...decision, nextAfterMs: Math.min(decision.nextAfterMs, SILENT_GRANTER_PAUSE_MS) }
    : { retryAfterMs: Math.min(decision.retryAfterMs, SILENT_GRANTER_PAUSE_MS) };

const hasPermit = ({ permitsUntilMs }: RequesterState): boolean => {
  const nowMs = performance.now();
  while (permitsUntilMs.length > 0 && permitsUntilMs[0]! <= nowMs) permitsUntilMs.shift();
  return permitsUntilMs.length > 0;
};

/**
 * Keeps the requests of all VMs to an upstream within the rate that it announced. For each upstream
 * one VM grants permits, each for one request, to the VMs that have requests for it; a second one stands in
 * with a small rate while the first does not reply. Opens no sockets.
 */
export class FleetRateLimits {
  private readonly ranking: GranterRanking;

  private readonly granter = new RateGranter();

  private readonly requesters = new Map<UpstreamId, RequesterState>();

  private readonly resolveById = new Map<number, (reply: PermitReply) => void>();

  private readonly silentUntilMs = new Map<VmId, number>();

  // Starts from the clock, so that a reply from before a restart matches no request after it.
  private lastRequestId = Date.now();

  constructor(private readonly options: FleetRateLimitsOptions) {
    this.ranking = new GranterRanking(options.self, options.listServing);
  }

  /** Whether a caller's request needs no permit, has one, or may request one. */
  canAcquire(boot: UpstreamBoot): boolean {
    return this.computeRetryAfterMs(boot) === 0;
  }

  /** Returns the time until a permit may be requested, in milliseconds. */
  computeRetryAfterMs(boot: UpstreamBoot): number {
    const limit = this.options.rates.find(boot);
    const state = limit && this.findRequester(boot);
    if (!state || hasPermit(state)) return 0;
    if (state.pendingRequests >= MAX_PENDING_PERMIT_REQUESTS) return PERMIT_REPLY_TIMEOUT_MS;
    if (limit.requestsPerSecond > state.pausedAtRate) return 0;
    return Math.max(0, state.pausedUntilMs - performance.now());
  }

  /** Whether a request may be sent now: the upstream has no limit, or a permit for it is unused. */
  hasPermit(boot: UpstreamBoot): boolean {
    if (!this.options.rates.find(boot)) return true;
    const state = this.findRequester(boot);
    return state !== undefined && hasPermit(state);
  }

  /** Takes a permit to send one request now; false if the upstream has a limit and none is granted. */
  tryTake(boot: UpstreamBoot): boolean {
    if (!this.options.rates.find(boot)) return true;
    const state = this.findRequester(boot);
    if (!state || !hasPermit(state)) return false;
    state.permitsUntilMs.shift();
    return true;
  }

  /**
   * Requests a permit, and waits until it may be used. Afterwards either `tryTake` succeeds, or
   * `canAcquire` is false for a while, unless another request of this VM was first.
   */
  async acquire(boot: UpstreamBoot, demand: RateDemand): Promise<void> {
    const limit = this.options.rates.find(boot);
    if (!limit) return;
    const state = this.getRequester(boot);
    const { requestsPerSecond, announcedAtMs } = limit;
    state.pendingRequests += 1;
    const requestedAtMs = performance.now();
    const announcedAgeMs = requestedAtMs - announcedAtMs;
    const decision = await this.decide(boot, { ...demand, requestsPerSecond, announcedAgeMs });
    if (decision) {
      const pauseMs = 'startsInMs' in decision ? decision.nextAfterMs : decision.retryAfterMs;
      state.pausedUntilMs = performance.now() + pauseMs;
      state.pausedAtRate = requestsPerSecond;
    }
    if (decision && 'startsInMs' in decision) {
      if (decision.startsInMs > 0) await sleep(decision.startsInMs);
      // The process may have stood still since the grant, and the rate has moved on.
      state.permitsUntilMs.push(requestedAtMs + decision.startsInMs + PERMIT_USE_MS);
    }
    state.pendingRequests -= 1;
  }

  /** Decides on another VM's request for a permit. */
  handlePermitRequest(requester: VmId, request: PermitRequest): PermitReply {
    // The other VM may know of a later announcement than this one.
    this.options.rates.record(request, request.requestsPerSecond, request.announcedAgeMs);
    return { id: request.id, ...this.grant(requester, request) };
  }

  handleReply(granter: VmId, reply: PermitReply): void {
    this.silentUntilMs.delete(granter);
    this.resolveById.get(reply.id)?.(reply);
  }

  /** Applies changes of the fleet and forgets ended limits; to be called often. */
  refresh(): void {
    this.ranking.refresh();
    const limits = this.options.rates.list();
    const limitedIds = new Set(limits.map(({ upstreamId }) => upstreamId));
    this.ranking.prune(limits);
    this.granter.prune(limitedIds);
    this.requesters.forEach(({ pendingRequests }, upstreamId) => {
      if (!limitedIds.has(upstreamId) && pendingRequests === 0) this.requesters.delete(upstreamId);
    });
  }

  dump(): readonly RateLimitDump[] {
    return this.options.rates.list().map(({ upstreamId, startedAtMs, ...limit }) => {
      const boot = { upstreamId, startedAtMs };
      return {
        ...boot,
        requestsPerSecond: limit.requestsPerSecond,
        ageMs: performance.now() - limit.sinceMs,
        granters: this.ranking.find(boot).granters,
        grants: this.granter.listGrants(boot),
        retryAfterMs: this.computeRetryAfterMs(boot),
      };
    });
  }

  /** @returns undefined if the granter did not reply */
  private async decide(
    boot: UpstreamBoot,
    demand: RateDemand & Pick<PermitRequest, 'requestsPerSecond' | 'announcedAgeMs'>,
  ): Promise<PermitDecision | undefined> {
    const { self } = this.options;
    const { upstreamId, startedAtMs } = boot;
    this.lastRequestId += 1;
    const request: PermitRequest = { upstreamId, startedAtMs, ...demand, id: this.lastRequestId };
    const granter = this.ranking
      .find(boot)
      .granters.find((vmId) => (this.silentUntilMs.get(vmId) ?? -Infinity) < performance.now());
    if (granter === undefined) return { retryAfterMs: NO_GRANTER_PAUSE_MS };
    if (granter === self) return this.grant(self, request);
    const reply = await this.sendPermitRequest(granter, request);
    if (!reply) this.silentUntilMs.set(granter, performance.now() + SILENT_GRANTER_PAUSE_MS);
    return reply;
  }

  private async sendPermitRequest(
    granter: VmId,
    request: PermitRequest,
  ): Promise<PermitReply | undefined> {
    return new Promise((resolve) => {
      const finish = (reply: PermitReply | undefined): void => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the timer and its callback refer to each other
        clearTimeout(timer);
        this.resolveById.delete(request.id);
        resolve(reply);
      };
      const timer = setTimeout(() => finish(undefined), PERMIT_REPLY_TIMEOUT_MS);
      this.resolveById.set(request.id, finish);
      this.options.sendPermitRequest(granter, request);
    });
  }

  private grant(requester: VmId, request: PermitRequest): PermitDecision {
    const { rates, self } = this.options;
    const limit = rates.find(request);
    const requestsPerSecond = limit?.requestsPerSecond ?? request.requestsPerSecond;
    const { granters, firstSinceMs } = this.ranking.find(request);
    if (!granters.includes(self)) return { retryAfterMs: NO_GRANTER_PAUSE_MS };
    const isSettled = performance.now() - firstSinceMs >= GRANTER_SETTLE_MS;
    if (granters[0] === self && isSettled) {
      return this.granter.grant(requester, request, requestsPerSecond * FIRST_GRANTER_FRACTION);
    }
    const standInRate = requestsPerSecond * SECOND_GRANTER_FRACTION;
    return clampPause(this.granter.grant(requester, request, standInRate));
  }

  private findRequester({ upstreamId, startedAtMs }: UpstreamBoot): RequesterState | undefined {
    const state = this.requesters.get(upstreamId);
    return state?.startedAtMs === startedAtMs ? state : undefined;
  }

  private getRequester(boot: UpstreamBoot): RequesterState {
    const known = this.findRequester(boot);
    if (known) return known;
    const created: RequesterState = {
      startedAtMs: boot.startedAtMs,
      permitsUntilMs: [],
      pendingRequests: 0,
      pausedUntilMs: -Infinity,
      pausedAtRate: Infinity,
    };
    this.requesters.set(boot.upstreamId, created);
    return created;
  }
}
