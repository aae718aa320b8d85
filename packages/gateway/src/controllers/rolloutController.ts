import { ConditionalLease, RolloutPlanner, rankByRendezvous, sleep } from '@goldcrestscale/core';
import type {
  EntryRoster,
  FencedHold,
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
  LEASE_WATCHERS,
  LEASE_WATCH_MS,
  LOAD_CHECK_MS,
  LOAD_CHECK_SHARE,
  LOAD_DRAIN_MS,
  LOAD_FIRST_CHECK_MS,
  LOAD_FOLLOW_MS,
  ROLLOUT_IDLE_MS,
  ROLLOUT_TAKEOVER_MS,
  ROLLOUT_TICK_MS,
} from '../constants.js';
import type { OrderOutcome, UpstreamCallOptions, UpstreamProtocol } from '../ports/index.js';

/** What the controller is built from. */
export interface RolloutOptions {
  readonly self: VmId;
  readonly holder: string;
  readonly lease: ConditionalLease;
  readonly registry: UpstreamRegistry;
  readonly operators: OperatorState;
  readonly roster: EntryRoster;
  readonly protocol: UpstreamProtocol;
  readonly logger: Logger;
  /** Called when the list of loading engines has changed. */
  readonly onLoadingChange: () => void;
}

/** Key by which VMs agree on who gives orders. */
const ORDER_GIVER_KEY = 'order-giver';

interface BehindEngine {
  readonly upstream: TrackedUpstream;
  readonly model: ModelId;
  readonly wanted: WeightNumber;
}

/** @returns whether the engine runs on the wanted weights */
const noteState = (
  { upstream, model, wanted }: BehindEngine,
  weights: ReadonlyMap<ModelId, WeightNumber>,
): boolean => {
  const held = weights.get(model);
  if (held === undefined) return false;
  upstream.noteWeights(model, held);
  return held >= wanted;
};

const buildCall = ({ upstream }: BehindEngine, signal: AbortSignal): UpstreamCallOptions => ({
  address: upstream.registered.address,
  upstreamId: upstream.upstreamId,
  signal,
});

/**
 * Brings the engines to the newest weights. One VM of the fleet gives orders, under a lease;
 * the others take over in a fixed order where nothing moves on.
 */
export class RolloutController {
  private readonly planner = new RolloutPlanner();

  private behindSinceMs: number | undefined;

  private lastBehind = 0;

  private hasWatched = false;

  /** Ends the pause between two ticks. */
  private wake = new AbortController();

  private watchedAtMs = -Infinity;

  /** Time that the last load took; the first check comes early. */
  private loadMs = LOAD_FIRST_CHECK_MS;

  constructor(private readonly options: RolloutOptions) {}

  /** Lists the engines that this VM has ordered to load. */
  listLoading(): readonly UpstreamId[] {
    return this.planner.listUnderWay();
  }

  /** Looks at once which engines are behind: the operators have named other weights. */
  check(): void {
    this.wake.abort();
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.runOnce(signal);
      } catch (cause) {
        if (!signal.aborted) {
          this.options.logger.warn('order giver can not reach the log', { error: String(cause) });
        }
      }
      this.wake = new AbortController();
      const pauseMs = this.lastBehind > 0 ? ROLLOUT_TICK_MS : ROLLOUT_IDLE_MS;
      await sleep(pauseMs, AbortSignal.any([signal, this.wake.signal]));
    }
  }

  private async runOnce(signal: AbortSignal): Promise<void> {
    const { lease } = this.options;
    const behind = this.listBehind();
    this.noteProgress(behind.length);
    if (behind.length === 0) {
      if (!this.hasWatched) {
        // Known in time, the end of another VM's lease needs no wait at the next change.
        await lease.watch(signal);
        this.hasWatched = true;
      }
      return;
    }
    this.hasWatched = false;
    const rank = this.computeRank();
    const hasTurn = lease.held !== undefined || this.isMyTurn(rank);
    if (!hasTurn) {
      if (rank < LEASE_WATCHERS) await this.watchLease(signal);
      return;
    }
    if (lease.isDue && !(await this.renew(signal))) return;
    if (lease.held) this.startOrders(behind, signal);
  }

  /** Follows who holds the lease while others roll out, so that its end is known in time. */
  private async watchLease(signal: AbortSignal): Promise<void> {
    if (performance.now() - this.watchedAtMs < LEASE_WATCH_MS) return;
    this.watchedAtMs = performance.now();
    await this.options.lease.watch(signal);
  }

  private async renew(signal: AbortSignal): Promise<FencedHold | undefined> {
    const { lease, logger } = this.options;
    const wasHeld = lease.held !== undefined;
    const hold = await lease.acquire(signal);
    if (hold && !wasHeld) logger.info('lease taken', { fence: hold.fencingToken });
    return hold ?? lease.held;
  }

  private noteProgress(behind: number): void {
    if (behind === 0) this.behindSinceMs = undefined;
    else if (behind !== this.lastBehind || this.behindSinceMs === undefined) {
      this.behindSinceMs = performance.now();
    }
    this.lastBehind = behind;
  }

  /** Gives this VM's place in the common order; infinite where it does not know itself yet. */
  private computeRank(): number {
    const { roster, self } = this.options;
    const live = roster.listServing().map(({ vmId }) => vmId);
    const rank = rankByRendezvous(ORDER_GIVER_KEY, live).indexOf(self);
    return rank < 0 ? Infinity : rank;
  }

  /** The first VM in the common order acts at once, each further one after a wait without progress. */
  private isMyTurn(rank: number): boolean {
    const waitedMs = performance.now() - (this.behindSinceMs ?? performance.now());
    return waitedMs >= rank * ROLLOUT_TAKEOVER_MS;
  }

  private listBehind(): readonly BehindEngine[] {
    return this.listEngines().filter(({ upstream, model, wanted }) => {
      const held = upstream.findWeights(model);
      return held !== undefined && held < wanted;
    });
  }

  private listEngines(): readonly BehindEngine[] {
    const { registry, operators } = this.options;
    return registry.list().flatMap((upstream) =>
      upstream.registered.weights.flatMap(({ model }) => {
        const weights = operators.findWeights(model);
        const isLeaving = upstream.registered.draining;
        return weights && !isLeaving ? [{ upstream, model, wanted: weights.wanted }] : [];
      }),
    );
  }

  private startOrders(behind: readonly BehindEngine[], signal: AbortSignal): void {
    const behindIds = new Map(behind.map((engine) => [engine.upstream.upstreamId, engine]));
    const chosen = this.planner.takeNext(
      this.listEngines().map(({ upstream }) => ({
        upstreamId: upstream.upstreamId,
        isBehind: behindIds.has(upstream.upstreamId),
        load: upstream.estimateLoad(),
      })),
    );
    if (chosen.length === 0) return;
    chosen.forEach((upstreamId) => {
      void this.loadEngine(behindIds.get(upstreamId)!, signal);
    });
    this.options.onLoadingChange();
  }

  private async loadEngine(engine: BehindEngine, signal: AbortSignal): Promise<void> {
    const { upstreamId } = engine.upstream;
    const startedAtMs = performance.now();
    let outcome = 'failed';
    try {
      outcome = (await this.runOrder(engine, signal)) ? 'done' : 'failed';
    } catch (cause) {
      outcome = String(cause);
    }
    if (outcome === 'done') this.planner.noteDone(upstreamId);
    else this.planner.noteFailed(upstreamId);
    this.options.logger.info('order ended', {
      upstreamId,
      wanted: engine.wanted,
      outcome,
      elapsedMs: Math.round(performance.now() - startedAtMs),
    });
    this.options.onLoadingChange();
    this.wake.abort();
  }

  /** @returns whether the engine runs on the wanted weights */
  private async runOrder(engine: BehindEngine, signal: AbortSignal): Promise<boolean> {
    // The others have heard by then that it gets no new request.
    await sleep(LOAD_DRAIN_MS, signal);
    const state = await this.options.protocol.readState(buildCall(engine, signal));
    if (noteState(engine, state.weights)) return true;
    const orderedAtMs = performance.now();
    if (!state.isBusy) {
      const outcome = await this.sendOrder(engine, state.acceptedOrders, signal);
      if (outcome === 'fenced' || outcome === 'moved' || outcome === 'failed') return false;
      await sleep(this.loadMs * LOAD_CHECK_SHARE, signal);
    }
    const isDone = await this.follow(engine, signal);
    if (isDone && !state.isBusy) this.loadMs = performance.now() - orderedAtMs;
    return isDone;
  }

  private async sendOrder(
    engine: BehindEngine,
    expectedOrders: number,
    signal: AbortSignal,
  ): Promise<OrderOutcome> {
    const { lease, holder, protocol } = this.options;
    const { held } = lease;
    if (!held) return 'failed';
    const { model, wanted } = engine;
    try {
      return await protocol.sendOrder(
        { model, wanted, holder, fencingToken: held.fencingToken, expectedOrders },
        buildCall(engine, signal),
      );
    } catch (cause) {
      this.options.logger.warn('order without an answer', {
        upstreamId: engine.upstream.upstreamId,
        wanted,
        error: String(cause),
      });
      // It may have been accepted all the same; what the engine says next tells.
      return 'conflict';
    }
  }

  private async follow(engine: BehindEngine, signal: AbortSignal): Promise<boolean> {
    const endsAtMs = performance.now() + LOAD_FOLLOW_MS;
    while (performance.now() < endsAtMs && !signal.aborted) {
      const state = await this.options.protocol.readState(buildCall(engine, signal));
      if (noteState(engine, state.weights)) return true;
      if (!state.isBusy) return false;
      await sleep(LOAD_CHECK_MS, signal);
    }
    return false;
  }
}
