import {
  CallerTimes,
  PROMPT_MEMORY_FRACTION,
  PrefillShare,
  computeMaxBacklogMs,
  computeOutageRetryAfterMs,
  computePlaces,
  computeQueuedSlots,
  computeRoom,
} from '@goldcrestscale/core';
import type {
  DeploymentView,
  NewPlaceRequest,
  PlaceAdmission,
  PlaceRefusal,
  PromptRefusal,
  RunTimes,
  ServiceName,
  TrackedUpstream,
  UpstreamCapacity,
  UpstreamRegistry,
} from '@goldcrestscale/core';
import type { GatewayExchange } from '../filters/gatewayExchange.js';
import { getPriority, requireRoute } from '../filters/gatewayExchange.js';
import type { GatewayMetrics } from '../metrics.js';
import type { RequestLog } from '../requestLog.js';
import { createOverloadError } from './dispatchErrors.js';
import type { UpstreamChoice, UpstreamChooser } from './upstreamChooser.js';

/** Dependencies of the gate. */
export interface PlaceGateOptions {
  readonly places: PlaceAdmission;
  readonly chooser: Pick<UpstreamChooser, 'isEligible' | 'prefillRate'>;
  readonly registry: UpstreamRegistry;
  readonly runTimes: RunTimes;
  readonly metrics: GatewayMetrics;
  readonly requestLog: RequestLog;
  /** Whether prompts wait for places. @default true */
  readonly admission?: boolean;
  readonly getView?: () => DeploymentView | undefined;
  /** Returns the time for which the log has been unavailable; undefined while it answers. */
  readonly estimateOutageMs?: (() => number | undefined) | undefined;
}

const NO_UPSTREAMS_EXCLUDED: ReadonlySet<never> = new Set();

/** The same weight for all accounts, since the configuration tells none. */
const ACCOUNT_WEIGHT = 1;

/** Lets requests pass to the choice of an upstream when it is their turn for a place there. */
export class PlaceGate {
  private readonly callerTimes = new CallerTimes();

  private readonly prefillShares = new Map<ServiceName, PrefillShare>();

  constructor(private readonly options: PlaceGateOptions) {}

  /**
   * Waits for the turn of a request, if there is not room for all.
   *
   * @returns the places that it got, to be released at its end
   * @throws a refusal if it gets none in time
   */
  async acquire(
    exchange: GatewayExchange,
    service: ServiceName,
    signal: AbortSignal,
  ): Promise<NewPlaceRequest> {
    const { places, metrics } = this.options;
    const request = this.buildRequest(exchange, service);
    const wait = places.request(request, signal);
    if (!wait) return request;
    const startedAtMs = performance.now();
    metrics.countWaiting(service, 1);
    const refusal = await wait;
    metrics.countWaiting(service, -1);
    if (refusal) throw this.refuse(exchange, service, refusal);
    metrics.observePlaceWait(performance.now() - startedAtMs);
    return request;
  }

  release(request: NewPlaceRequest): void {
    this.options.places.recordEnd(request);
  }

  /** Records how much of a prompt its engine has to prefill. */
  recordChoice({ head }: GatewayExchange, service: ServiceName, choice: UpstreamChoice): void {
    if (!head.prompt) return;
    this.getPrefillShare(service).recordPrompt(choice.prefillTokens, head.prompt.inputTokens);
  }

  /** Replaces the return time of a refusal by one in the order of returns. */
  scheduleReturn(request: NewPlaceRequest, refusal: PromptRefusal): PromptRefusal {
    if (refusal.isRateLimited) return refusal;
    const retryAfterMs = this.options.places.scheduleReturn(request, refusal.retryAfterMs);
    return { ...refusal, retryAfterMs };
  }

  /** Returns when a caller should return whose service has no known upstream; undefined if it has. */
  computeOutageRetryAfterMs(exchange: GatewayExchange, service: ServiceName): number | undefined {
    const { registry, estimateOutageMs } = this.options;
    if (registry.listService(service).length > 0) return undefined;
    return computeOutageRetryAfterMs({
      outageMs: estimateOutageMs?.(),
      leftMs: exchange.deadlineAtMs - performance.now(),
      random: Math.random(),
    });
  }

  private refuse(exchange: GatewayExchange, service: ServiceName, refusal: PlaceRefusal): Error {
    const { metrics, requestLog } = this.options;
    metrics.countPlaceRefusal(service, refusal);
    requestLog.log('no place in time', {
      id: exchange.head.requestId,
      route: exchange.route?.name,
      account: exchange.account?.id,
      service,
      ...refusal,
      retryAfterMs: Math.round(refusal.retryAfterMs),
    });
    return createOverloadError(refusal);
  }

  private buildRequest(exchange: GatewayExchange, service: ServiceName): NewPlaceRequest {
    const route = requireRoute(exchange);
    const { head, account, deadlineAtMs, streamVersion } = exchange;
    const findCapacity = this.createCapacityFinder(exchange, service);
    const { prompt } = head;
    const outputTokens = prompt?.expectedOutputTokens ?? prompt?.maxOutputTokens ?? 0;
    const prefillTokens = (prompt?.inputTokens ?? 0) * this.getPrefillShare(service).value;
    const work = {
      memoryTokens: (prompt?.inputTokens ?? 0) + outputTokens,
      prefillMs: prefillTokens / this.options.chooser.prefillRate.tokensPerMs,
    };
    const sample = this.options.registry.listService(service)[0];
    return {
      service,
      priority: getPriority(exchange),
      accountId: account?.id,
      accountWeight: ACCOUNT_WEIGHT,
      places: sample ? computePlaces(work, findCapacity(sample)) : 1,
      deadlineAtMs,
      objectiveMs: route.objectiveMs,
      isPassing: this.isPassing(exchange, service),
      reachKey: [prompt?.model, route.regions.join(), account?.regions.join(), streamVersion].join(
        '/',
      ),
      runMs: this.options.runTimes.findMeanMs(service) ?? route.objectiveMs,
      spentMs: this.callerTimes.estimateSpentMs(route.name, head.timeoutMs),
      readRoom: () => this.readRoom(exchange, service, findCapacity),
    };
  }

  /**
   * Whether a request never waits here: a plain one, since its service queues a few and orders them by
   * itself; a most urgent one, for which engines preempt others; and one with too little time to decide.
   */
  private isPassing(exchange: GatewayExchange, service: ServiceName): boolean {
    if (this.options.admission === false || !exchange.head.prompt) return true;
    if (!this.options.places.canDecide(requireRoute(exchange).objectiveMs)) return true;
    const highest = this.options.getView?.()?.findHighestPriority(service);
    return highest !== undefined && getPriority(exchange) <= highest;
  }

  private readRoom(
    exchange: GatewayExchange,
    service: ServiceName,
    findCapacity: (upstream: TrackedUpstream) => UpstreamCapacity,
  ): ReturnType<NewPlaceRequest['readRoom']> {
    const { registry, chooser } = this.options;
    const eligible = registry
      .listService(service)
      .filter((upstream) => chooser.isEligible(exchange, upstream, NO_UPSTREAMS_EXCLUDED));
    return computeRoom(
      eligible.map((upstream) => ({
        capacity: findCapacity(upstream),
        used: {
          slots: upstream.estimateLoad(),
          memoryTokens: upstream.estimateInFlightTokens(),
          backlogMs: upstream.estimatePendingTokens() / chooser.prefillRate.tokensPerMs,
        },
      })),
    );
  }

  /** Returns what finds the capacity of an upstream for requests like this one. */
  private createCapacityFinder(
    exchange: GatewayExchange,
    service: ServiceName,
  ): (upstream: TrackedUpstream) => UpstreamCapacity {
    const { getView, runTimes } = this.options;
    const view = getView?.();
    const engine = view?.findService(service)?.engine;
    const { objectiveMs, timeoutMs } = requireRoute(exchange);
    if (!engine || !exchange.head.prompt) {
      const runMs = runTimes.findMeanMs(service);
      return ({ registered }) => ({
        slots: computeQueuedSlots(registered.slots, runMs, timeoutMs),
        memoryTokens: Infinity,
        backlogMs: Infinity,
      });
    }
    // Less urgent prompts must not fill the queues beyond what more urgent ones bear.
    const shortestMs = view?.findShortestObjectiveMs(service, getPriority(exchange)) ?? Infinity;
    const backlogMs = computeMaxBacklogMs(Math.min(objectiveMs, shortestMs));
    const memoryTokens = engine.capacityTokens * PROMPT_MEMORY_FRACTION;
    return ({ registered }) => ({
      slots: (engine.slots ?? registered.slots) || Infinity,
      memoryTokens,
      backlogMs,
    });
  }

  private getPrefillShare(service: ServiceName): PrefillShare {
    const share = this.prefillShares.get(service) ?? new PrefillShare();
    this.prefillShares.set(service, share);
    return share;
  }
}
