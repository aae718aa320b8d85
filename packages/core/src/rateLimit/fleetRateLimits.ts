import type { UpstreamBoot } from '../fleet/index.js';
import type { UpstreamId, VmId } from '../ids.js';
import { sleep } from '../log/index.js';
import type { AnnouncedRates } from './announcedRates.js';
import {
  ASK_TIMEOUT_MS,
  FIRST_GRANTER_FRACTION,
  GRANTER_SETTLE_MS,
  GRANT_USE_MS,
  MAX_PENDING_ASKS,
  NO_GRANTER_PAUSE_MS,
  SECOND_GRANTER_FRACTION,
  SILENT_GRANTER_PAUSE_MS,
} from './constants.js';
import { GranterRanking } from './granterRanking.js';
import type { RateAsk, RateDecision, RateReply } from './rateGrant.js';
import { RateGranter } from './rateGranter.js';

/** Dependencies of the limits. */
export interface FleetRateLimitsOptions {
  readonly self: VmId;
  readonly rates: AnnouncedRates;
  /** Lists the VMs that accept callers. */
  readonly listServing: () => readonly VmId[];
  /** Sends an ask to another VM; it or the reply may be lost. */
  readonly sendAsk: (granter: VmId, ask: RateAsk) => void;
}

/** What a request that needs a send can bear. */
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
  /** Time until the next ask; 0 if the upstream may be asked for now. */
  readonly retryAfterMs: number;
}

interface AskerState {
  readonly startedAtMs: number;
  /** Monotonic times at which unused grants expire. */
  readonly grantsUntilMs: number[];
  pendingAsks: number;
  /** Monotonic time before which an ask would be denied. */
  pausedUntilMs: number;
  /** Rate that was announced when that was decided. */
  pausedAtRate: number;
}

/** Limits the pause after the decision of a stand-in, since the first granter may be back by then. */
const clampPause = (decision: RateDecision): RateDecision =>
  'startsInMs' in decision
    ? { ...decision, nextAfterMs: Math.min(decision.nextAfterMs, SILENT_GRANTER_PAUSE_MS) }
    : { retryAfterMs: Math.min(decision.retryAfterMs, SILENT_GRANTER_PAUSE_MS) };

const hasGrant = ({ grantsUntilMs }: AskerState): boolean => {
  const nowMs = performance.now();
  while (grantsUntilMs.length > 0 && grantsUntilMs[0]! <= nowMs) grantsUntilMs.shift();
  return grantsUntilMs.length > 0;
};

/**
 * Keeps the requests of all VMs to an upstream within the rate that it announced. For each upstream
 * one VM grants sends, one at a time, to the VMs that have requests for it; a second one stands in
 * with a small rate while the first does not reply. Opens no sockets.
 */
export class FleetRateLimits {
  private readonly ranking: GranterRanking;

  private readonly granter = new RateGranter();

  private readonly askers = new Map<UpstreamId, AskerState>();

  private readonly resolveById = new Map<number, (reply: RateReply) => void>();

  private readonly silentUntilMs = new Map<VmId, number>();

  // Starts from the clock, so that a reply to an ask before a restart matches none after it.
  private lastAskId = Date.now();

  constructor(private readonly options: FleetRateLimitsOptions) {
    this.ranking = new GranterRanking(options.self, options.listServing);
  }

  /** Whether a request to the upstream needs no grant, has one, or may ask for one. */
  canAcquire(boot: UpstreamBoot): boolean {
    return this.computeRetryAfterMs(boot) === 0;
  }

  /** Returns the time until a request may ask for a send, in milliseconds. */
  computeRetryAfterMs(boot: UpstreamBoot): number {
    const limit = this.options.rates.find(boot);
    const state = limit && this.findAsker(boot);
    if (!state || hasGrant(state)) return 0;
    if (state.pendingAsks >= MAX_PENDING_ASKS) return ASK_TIMEOUT_MS;
    if (limit.requestsPerSecond > state.pausedAtRate) return 0;
    return Math.max(0, state.pausedUntilMs - performance.now());
  }

  /** Takes the right to send one request now; false if the upstream has a limit and none is granted. */
  tryTake(boot: UpstreamBoot): boolean {
    if (!this.options.rates.find(boot)) return true;
    const state = this.findAsker(boot);
    if (!state || !hasGrant(state)) return false;
    state.grantsUntilMs.shift();
    return true;
  }

  /**
   * Asks for a send, and waits until it may be used. Afterwards either `tryTake` succeeds, or
   * `canAcquire` is false for a while, unless another request of this VM was first.
   */
  async acquire(boot: UpstreamBoot, demand: RateDemand): Promise<void> {
    const limit = this.options.rates.find(boot);
    if (!limit) return;
    const state = this.getAsker(boot);
    const { requestsPerSecond, announcedAtMs } = limit;
    state.pendingAsks += 1;
    const announcedAgeMs = performance.now() - announcedAtMs;
    const decision = await this.decide(boot, { ...demand, requestsPerSecond, announcedAgeMs });
    if (decision) {
      const pauseMs = 'startsInMs' in decision ? decision.nextAfterMs : decision.retryAfterMs;
      state.pausedUntilMs = performance.now() + pauseMs;
      state.pausedAtRate = requestsPerSecond;
    }
    if (decision && 'startsInMs' in decision) {
      if (decision.startsInMs > 0) await sleep(decision.startsInMs);
      state.grantsUntilMs.push(performance.now() + GRANT_USE_MS);
    }
    state.pendingAsks -= 1;
  }

  /** Decides on another VM's ask. */
  handleAsk(asker: VmId, ask: RateAsk): RateReply {
    // The asker may know of a later announcement than this VM.
    this.options.rates.record(ask, ask.requestsPerSecond, ask.announcedAgeMs);
    return { id: ask.id, ...this.grant(asker, ask) };
  }

  handleReply(granter: VmId, reply: RateReply): void {
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
    this.askers.forEach(({ pendingAsks }, upstreamId) => {
      if (!limitedIds.has(upstreamId) && pendingAsks === 0) this.askers.delete(upstreamId);
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
    demand: RateDemand & Pick<RateAsk, 'requestsPerSecond' | 'announcedAgeMs'>,
  ): Promise<RateDecision | undefined> {
    const { self } = this.options;
    const { upstreamId, startedAtMs } = boot;
    this.lastAskId += 1;
    const ask: RateAsk = { upstreamId, startedAtMs, ...demand, id: this.lastAskId };
    const granter = this.ranking
      .find(boot)
      .granters.find((vmId) => (this.silentUntilMs.get(vmId) ?? -Infinity) < performance.now());
    if (granter === undefined) return { retryAfterMs: NO_GRANTER_PAUSE_MS };
    if (granter === self) return this.grant(self, ask);
    const reply = await this.sendAsk(granter, ask);
    if (!reply) this.silentUntilMs.set(granter, performance.now() + SILENT_GRANTER_PAUSE_MS);
    return reply;
  }

  private async sendAsk(granter: VmId, ask: RateAsk): Promise<RateReply | undefined> {
    return new Promise((resolve) => {
      const finish = (reply: RateReply | undefined): void => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the timer and its callback refer to each other
        clearTimeout(timer);
        this.resolveById.delete(ask.id);
        resolve(reply);
      };
      const timer = setTimeout(() => finish(undefined), ASK_TIMEOUT_MS);
      this.resolveById.set(ask.id, finish);
      this.options.sendAsk(granter, ask);
    });
  }

  private grant(asker: VmId, ask: RateAsk): RateDecision {
    const { rates, self } = this.options;
    const limit = rates.find(ask);
    const requestsPerSecond = limit?.requestsPerSecond ?? ask.requestsPerSecond;
    const { granters, firstSinceMs } = this.ranking.find(ask);
    if (!granters.includes(self)) return { retryAfterMs: NO_GRANTER_PAUSE_MS };
    const isSettled = performance.now() - firstSinceMs >= GRANTER_SETTLE_MS;
    if (granters[0] === self && isSettled) {
      return this.granter.grant(asker, ask, requestsPerSecond * FIRST_GRANTER_FRACTION);
    }
    const standInRate = requestsPerSecond * SECOND_GRANTER_FRACTION;
    return clampPause(this.granter.grant(asker, ask, standInRate));
  }

  private findAsker({ upstreamId, startedAtMs }: UpstreamBoot): AskerState | undefined {
    const state = this.askers.get(upstreamId);
    return state?.startedAtMs === startedAtMs ? state : undefined;
  }

  private getAsker(boot: UpstreamBoot): AskerState {
    const known = this.findAsker(boot);
    if (known) return known;
    const created: AskerState = {
      startedAtMs: boot.startedAtMs,
      grantsUntilMs: [],
      pendingAsks: 0,
      pausedUntilMs: -Infinity,
      pausedAtRate: Infinity,
    };
    this.askers.set(boot.upstreamId, created);
    return created;
  }
}
