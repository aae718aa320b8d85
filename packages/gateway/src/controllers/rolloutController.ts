import { ConditionalLease, RolloutPlanner, rankByRendezvous, sleep } from '@goldcrestscale/core';
import type {
  AnnouncedRates,
  EntryRoster,
  FleetRateLimits,
  LeaseGrant,
  ModelId,
  OperatorState,
  TrackedUpstream,
  UpstreamId,
  UpstreamRegistry,
  VmId,
  WeightNumber,
} from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import {
  CONTROL_RATE_WAIT_MS,
  INITIAL_LOAD_ESTIMATE_MS,
  LEASE_WATCHER_COUNT,
  LEASE_WATCH_INTERVAL_MS,
  LOAD_DRAIN_DELAY_MS,
  FIRST_LOAD_POLL_FRACTION,
  LOAD_POLL_INTERVAL_MS,
  WEIGHT_LOAD_TIMEOUT_MS,
  ROLLOUT_ACTIVE_INTERVAL_MS,
  ROLLOUT_IDLE_INTERVAL_MS,
  ROLLOUT_TAKEOVER_DELAY_MS,
} from '../constants.js';
import type {
  EngineState,
  OrderOutcome,
  UpstreamCallOptions,
  UpstreamProtocol,
} from '../ports/index.js';

/** Dependencies of the controller. */
export interface RolloutOptions {
  readonly self: VmId;
  readonly holder: string;
  readonly lease: ConditionalLease;
  readonly registry: UpstreamRegistry;
  readonly announcedRates: AnnouncedRates;
  readonly rateLimits: FleetRateLimits;
  readonly operators: OperatorState;
  readonly roster: EntryRoster;
  readonly protocol: UpstreamProtocol;
  readonly logger: Logger;
  /** Called when the list of engines that are loading weights changes. */
  readonly onLoadingChange: () => void;
}

/** Rendezvous hashing key by which the VMs agree on the rollout coordinator. */
const COORDINATOR_KEY = 'order-giver';

interface EngineTarget {
  readonly upstream: TrackedUpstream;
  readonly model: ModelId;
  readonly wanted: WeightNumber;
}

/** @returns whether the engine runs on the wanted weights or newer ones */
const recordWeights = (
  { upstream, model, wanted }: EngineTarget,
  weights: ReadonlyMap<ModelId, WeightNumber>,
): boolean => {
  const weightNumber = weights.get(model);
  if (weightNumber === undefined) return false;
  upstream.recordWeights(model, weightNumber);
  return weightNumber >= wanted;
};

const buildCall = ({ upstream }: EngineTarget, signal: AbortSignal): UpstreamCallOptions => ({
  address: upstream.registered.address,
  upstreamId: upstream.upstreamId,
  signal,
});

/**
 * Rolls out the wanted weights to the engines. One VM of the fleet holds a lease and sends the load
 * orders; if the rollout stalls, the other VMs take over in a fixed order.
 */
export class RolloutController {
  private readonly planner = new RolloutPlanner();

  private noProgressSinceMs: number | undefined;

  private lastOutdatedCount = 0;

  private hasReadLease = false;

  /** Interrupts the pause between two iterations. */
  private pauseController = new AbortController();

  private lastLeaseReadAtMs = -Infinity;

  /** Duration of the last load. The initial value is low, so that the first load is polled early. */
  private lastLoadMs = INITIAL_LOAD_ESTIMATE_MS;

  constructor(private readonly options: RolloutOptions) {}

  /** Lists the engines that are loading weights on an order of this VM. */
  listLoading(): readonly UpstreamId[] {
    return this.planner.listLoadingEngines();
  }

  /** Checks for outdated engines now, because the wanted weights have changed. */
  check(): void {
    this.pauseController.abort();
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.runOnce(signal);
      } catch (cause) {
        if (!signal.aborted) {
          this.options.logger.warn('could not read or acquire the rollout lease', {
            error: String(cause),
          });
        }
      }
      this.pauseController = new AbortController();
      const pauseMs =
        this.lastOutdatedCount > 0 ? ROLLOUT_ACTIVE_INTERVAL_MS : ROLLOUT_IDLE_INTERVAL_MS;
      await sleep(pauseMs, AbortSignal.any([signal, this.pauseController.signal]));
    }
  }

  private async runOnce(signal: AbortSignal): Promise<void> {
    const { lease } = this.options;
    const outdated = this.listOutdated();
    this.recordProgress(outdated.length);
    if (outdated.length === 0) {
      await this.readIdleLease(signal);
      return;
    }
    this.hasReadLease = false;
    const rank = this.computeRank();
    const mayStart = lease.currentGrant !== undefined || this.canStart(rank);
    if (!mayStart) {
      if (rank < LEASE_WATCHER_COUNT) await this.watchLease(signal);
      return;
    }
    if (lease.isRenewalDue && !(await this.acquireLease(signal))) return;
    if (lease.currentGrant) this.startLoads(outdated, signal);
  }

  /**
   * Reads the lease once while no rollout runs, so that the next one need not wait for it to expire.
   * Only the VMs that start or take over a rollout first do so; the others save the call.
   */
  private async readIdleLease(signal: AbortSignal): Promise<void> {
    if (this.hasReadLease) return;
    const rank = this.computeRank();
    if (rank < LEASE_WATCHER_COUNT) await this.options.lease.watch(signal);
    // The rank is not known before this VM is in the roster.
    this.hasReadLease = Number.isFinite(rank);
  }

  /** Reads the lease while another VM runs the rollout, so that its expiry is noticed in time. */
  private async watchLease(signal: AbortSignal): Promise<void> {
    if (performance.now() - this.lastLeaseReadAtMs < LEASE_WATCH_INTERVAL_MS) return;
    this.lastLeaseReadAtMs = performance.now();
    await this.options.lease.watch(signal);
  }

  private async acquireLease(signal: AbortSignal): Promise<LeaseGrant | undefined> {
    const { lease, logger } = this.options;
    const wasHeld = lease.currentGrant !== undefined;
    const grant = await lease.acquire(signal);
    if (grant && !wasHeld) logger.info('lease acquired', { fence: grant.fencingToken });
    return grant ?? lease.currentGrant;
  }

  private recordProgress(outdatedCount: number): void {
    if (outdatedCount === 0) this.noProgressSinceMs = undefined;
    else if (outdatedCount !== this.lastOutdatedCount || this.noProgressSinceMs === undefined) {
      this.noProgressSinceMs = performance.now();
    }
    this.lastOutdatedCount = outdatedCount;
  }

  /** Returns this VM's rank in the takeover order; infinite if it is not in the roster yet. */
  private computeRank(): number {
    const { roster, self } = this.options;
    const vmIds = roster.listServing().map(({ vmId }) => vmId);
    const rank = rankByRendezvous(COORDINATOR_KEY, vmIds).indexOf(self);
    return rank < 0 ? Infinity : rank;
  }

  /** The VM of rank 0 may start at once; each further rank waits longer for a stalled rollout. */
  private canStart(rank: number): boolean {
    const waitedMs = performance.now() - (this.noProgressSinceMs ?? performance.now());
    return waitedMs >= rank * ROLLOUT_TAKEOVER_DELAY_MS;
  }

  private listOutdated(): readonly EngineTarget[] {
    return this.listEngines().filter(({ upstream, model, wanted }) => {
      const weightNumber = upstream.findWeights(model);
      return weightNumber !== undefined && weightNumber < wanted;
    });
  }

  private listEngines(): readonly EngineTarget[] {
    const { registry, operators } = this.options;
    return registry.list().flatMap((upstream) =>
      upstream.registered.weights.flatMap(({ model }) => {
        const weights = operators.findWeights(model);
        return weights && !upstream.isLeaving ? [{ upstream, model, wanted: weights.wanted }] : [];
      }),
    );
  }

  private startLoads(outdated: readonly EngineTarget[], signal: AbortSignal): void {
    const outdatedById = new Map(outdated.map((engine) => [engine.upstream.upstreamId, engine]));
    const selectedIds = this.planner.takeNext(
      this.listEngines().map(({ upstream }) => ({
        upstreamId: upstream.upstreamId,
        isBehind: outdatedById.has(upstream.upstreamId),
        load: upstream.estimateLoad(),
      })),
    );
    if (selectedIds.length === 0) return;
    selectedIds.forEach((upstreamId) => {
      void this.loadEngine(outdatedById.get(upstreamId)!, signal);
    });
    this.options.onLoadingChange();
  }

  private async loadEngine(engine: EngineTarget, signal: AbortSignal): Promise<void> {
    const { upstreamId } = engine.upstream;
    const startedAtMs = performance.now();
    let outcome = 'failed';
    try {
      outcome = (await this.runLoad(engine, signal)) ? 'done' : 'failed';
    } catch (cause) {
      outcome = String(cause);
    }
    if (outcome === 'done') this.planner.recordSuccess(upstreamId);
    else this.planner.recordFailure(upstreamId);
    this.options.logger.info('weight load finished', {
      upstreamId,
      wanted: engine.wanted,
      outcome,
      elapsedMs: Math.round(performance.now() - startedAtMs),
    });
    this.options.onLoadingChange();
    this.pauseController.abort();
  }

  /** @returns whether the engine runs on the wanted weights */
  private async runLoad(engine: EngineTarget, signal: AbortSignal): Promise<boolean> {
    // By then the other VMs know from gossip that they must not send it new requests.
    await sleep(LOAD_DRAIN_DELAY_MS, signal);
    const state = await this.readState(engine, signal);
    if (state.isLeaving) {
      const { upstreamId, registered } = engine.upstream;
      this.options.registry.recordLeaving(upstreamId, registered.startedAtMs);
      return false;
    }
    if (recordWeights(engine, state.weights)) return true;
    const orderedAtMs = performance.now();
    if (!state.isBusy) {
      const outcome = await this.sendOrder(engine, state.acceptedOrders, signal);
      if (outcome === 'fenced' || outcome === 'moved' || outcome === 'failed') return false;
      await sleep(this.lastLoadMs * FIRST_LOAD_POLL_FRACTION, signal);
    }
    const isDone = await this.waitForLoad(engine, signal);
    if (isDone && !state.isBusy) this.lastLoadMs = performance.now() - orderedAtMs;
    return isDone;
  }

  private async readState(engine: EngineTarget, signal: AbortSignal): Promise<EngineState> {
    const { protocol, announcedRates, logger } = this.options;
    await this.waitForPermit(engine, signal);
    const state = await protocol.readEngineState(buildCall(engine, signal));
    const { registered, upstreamId } = engine.upstream;
    const { perSecond, invalid } = state.announcedRate;
    if (invalid === undefined) announcedRates.record(registered, perSecond);
    else logger.info('ignoring invalid rate limit of upstream', { upstreamId, invalid });
    return state;
  }

  /** Control calls count against a rate limit of the engine too. */
  private async waitForPermit({ upstream }: EngineTarget, signal: AbortSignal): Promise<void> {
    const { rateLimits } = this.options;
    const demand = { maxWaitMs: CONTROL_RATE_WAIT_MS, priority: 0 };
    while (!signal.aborted && !rateLimits.tryTake(upstream.registered)) {
      await sleep(rateLimits.computeRetryAfterMs(upstream.registered), signal);
      await rateLimits.acquire(upstream.registered, demand);
    }
  }

  private async sendOrder(
    engine: EngineTarget,
    expectedOrders: number,
    signal: AbortSignal,
  ): Promise<OrderOutcome> {
    const { lease, holder, protocol } = this.options;
    await this.waitForPermit(engine, signal);
    const { currentGrant } = lease;
    if (!currentGrant) return 'failed';
    const { model, wanted } = engine;
    try {
      return await protocol.sendOrder(
        { model, wanted, holder, fencingToken: currentGrant.fencingToken, expectedOrders },
        buildCall(engine, signal),
      );
    } catch (cause) {
      this.options.logger.warn('no response to weight load order', {
        upstreamId: engine.upstream.upstreamId,
        wanted,
        error: String(cause),
      });
      // The order may have been accepted; the engine's state shows whether it was.
      return 'conflict';
    }
  }

  private async waitForLoad(engine: EngineTarget, signal: AbortSignal): Promise<boolean> {
    const deadlineAtMs = performance.now() + WEIGHT_LOAD_TIMEOUT_MS;
    while (performance.now() < deadlineAtMs && !signal.aborted) {
      const state = await this.readState(engine, signal);
      if (recordWeights(engine, state.weights)) return true;
      if (!state.isBusy) return false;
      await sleep(LOAD_POLL_INTERVAL_MS, signal);
    }
    return false;
  }
}
