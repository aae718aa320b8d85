import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import {
  PrefillRate,
  PromptLanes,
  PromptRouter,
  buildBlockKey,
  computeMaxWeightsAgeMs,
  findSessionPart,
  listEngineGroups,
  pickDestination,
  pickLane,
} from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  BlockDirectory,
  EjectionPolicy,
  EngineSettings,
  EntryRoster,
  FleetRateLimits,
  OperatorState,
  Prompt,
  PromptChoice,
  PromptDecision,
  PromptRefusal,
  RegionId,
  RejectionLimits,
  SentParts,
  ServiceName,
  TrackedUpstream,
  UpstreamId,
  UpstreamPaces,
  UpstreamRegistry,
  VmId,
  ZoneRelays,
} from '@goldcrestscale/core';
import { buildSalt, listSentKeys } from './cacheIdentity.js';
import { ColdStartLimits } from './coldStartLimits.js';
import { computeMaxFirstEventWaitMs, computeOutdatedWeightsLimitMs } from './firstEventWait.js';
import type { GatewayExchange } from '../filters/gatewayExchange.js';
import { getPriority, requireRoute } from '../filters/gatewayExchange.js';
import { LeastLoadedUpstreams } from './leastLoadedUpstreams.js';
import { PacedUpstreams } from './pacedUpstreams.js';
import { SoundUpstreams } from './soundUpstreams.js';
import type { FleetBounds } from '../config.js';

/** Dependencies of the chooser. */
export interface UpstreamChooserOptions {
  readonly self: VmId;
  readonly zone: AvailabilityZoneId;
  readonly bounds: FleetBounds;
  readonly regions: ReadonlyMap<AvailabilityZoneId, RegionId>;
  readonly registry: UpstreamRegistry;
  readonly operators: OperatorState;
  readonly roster: EntryRoster;
  readonly relays: ZoneRelays;
  readonly blocks: BlockDirectory;
  readonly ejection: EjectionPolicy;
  readonly rateLimits: FleetRateLimits;
  readonly rejectionLimits: RejectionLimits;
  readonly sentParts: SentParts;
  readonly paces: UpstreamPaces;
  readonly random: RandomGenerator;
}

/** The upstream of an attempt, with the expected prefill and time to first token. */
export type UpstreamChoice = PromptChoice;

/** An upstream, or the time for which none will be able to serve the request in time. */
export type UpstreamDecision = PromptDecision;

const isCurrentChoice = (decision: UpstreamDecision | undefined): decision is UpstreamChoice =>
  decision !== undefined && !('retryAfterMs' in decision) && !decision.isOutdated;

/** Chooses the upstream of an attempt from the eligible ones. */
export class UpstreamChooser {
  readonly prefillRate = new PrefillRate();

  private readonly promptRouter: PromptRouter;

  private readonly promptLanes = new PromptLanes();

  private readonly coldStartLimits: ColdStartLimits;

  private readonly soundUpstreams: SoundUpstreams;

  private readonly pacedUpstreams: PacedUpstreams;

  private readonly leastLoaded: LeastLoadedUpstreams;

  constructor(private readonly options: UpstreamChooserOptions) {
    this.promptRouter = new PromptRouter(options.sentParts, this.prefillRate);
    this.coldStartLimits = new ColdStartLimits(options);
    this.soundUpstreams = new SoundUpstreams(options);
    this.pacedUpstreams = new PacedUpstreams(options);
    this.leastLoaded = new LeastLoadedUpstreams(options, this.pacedUpstreams);
  }

  /** Picks a service from the destinations of the route, by their traffic weights. */
  pickService(exchange: GatewayExchange): ServiceName | undefined {
    return pickDestination(requireRoute(exchange), uniformFloat64(this.options.random));
  }

  /** @returns undefined if no upstream is eligible */
  choose(
    exchange: GatewayExchange,
    service: ServiceName,
    excluded: ReadonlySet<UpstreamId>,
  ): UpstreamDecision | undefined {
    return (
      this.chooseFromEngineGroups(exchange, service, excluded) ??
      this.findShortestWait(exchange, service, excluded)
    );
  }

  /**
   * Takes the permits that a request to an upstream needs now. No await may come between this and the
   * send.
   *
   * @returns false if a rate limit of the upstream leaves none; of several limits, the lowest decides
   */
  takePermit(upstream: TrackedUpstream): boolean {
    if (!this.coldStartLimits.canTake(upstream)) return false;
    if (!this.options.rateLimits.tryTake(upstream.registered)) return false;
    return this.coldStartLimits.tryTake(upstream);
  }

  /** Whether a request to an upstream need not wait for a permit under a rate limit. */
  hasPermit({ registered }: TrackedUpstream): boolean {
    return this.options.rateLimits.hasPermit(registered);
  }

  /** Whether an upstream may get a request that has a connection to it now. */
  isEligible(
    exchange: GatewayExchange,
    upstream: TrackedUpstream,
    excluded: ReadonlySet<UpstreamId>,
    loadingWeights = this.options.roster.listLoading(),
  ): boolean {
    return (
      !upstream.isBusy &&
      upstream.restMs === 0 &&
      !this.options.rejectionLimits.isPaused(upstream) &&
      !loadingWeights.has(upstream.upstreamId) &&
      this.canServe(exchange, upstream, excluded)
    );
  }

  /** Whether an upstream may get the request, apart from what makes it wait for a moment. */
  private canServe(
    exchange: GatewayExchange,
    upstream: TrackedUpstream,
    excluded: ReadonlySet<UpstreamId>,
  ): boolean {
    return (
      this.isUsable(exchange, upstream, excluded) &&
      this.options.rateLimits.canAcquire(upstream.registered)
    );
  }

  /** Whether an upstream is eligible, apart from pauses that it asked for. */
  private isUsable(
    exchange: GatewayExchange,
    upstream: TrackedUpstream,
    excluded: ReadonlySet<UpstreamId>,
  ): boolean {
    const { operators, regions } = this.options;
    const { registered } = upstream;
    const region = regions.get(registered.availabilityZone);
    const isAllowed = (allowed: readonly RegionId[] | undefined): boolean =>
      !allowed?.length || (region !== undefined && allowed.includes(region));
    return (
      !upstream.isLeaving &&
      !excluded.has(upstream.upstreamId) &&
      !operators.isZoneOut(registered.availabilityZone) &&
      isAllowed(exchange.route?.regions) &&
      isAllowed(exchange.account?.regions) &&
      !this.isEjected(upstream) &&
      this.coldStartLimits.canTake(upstream) &&
      !this.hasOutdatedWeights(exchange, upstream) &&
      (exchange.streamVersion === undefined ||
        registered.softwareVersion === exchange.streamVersion)
    );
  }

  /** Whether an upstream is ejected; the last one of a service that may serve never is. */
  private isEjected({ upstreamId, registered }: TrackedUpstream): boolean {
    const isOpen = this.options.ejection.getState(upstreamId) === 'open';
    return isOpen && this.soundUpstreams.has(registered.service);
  }

  /** Records that an upstream is processing the parts of a prompt, and will have them cached. */
  recordSentParts(exchange: GatewayExchange, upstream: TrackedUpstream): void {
    listSentKeys(exchange, upstream).forEach((key) =>
      this.options.sentParts.recordSent(key, upstream.upstreamId),
    );
  }

  /** Takes that back for a prompt that the upstream failed. */
  dropSentParts(exchange: GatewayExchange, upstream: TrackedUpstream): void {
    listSentKeys(exchange, upstream).forEach((key) =>
      this.options.sentParts.dropSent(key, upstream.upstreamId),
    );
  }

  private chooseFromEngineGroups(
    exchange: GatewayExchange,
    service: ServiceName,
    excluded: ReadonlySet<UpstreamId>,
  ): UpstreamDecision | undefined {
    const { registry, roster, zone } = this.options;
    const { prompt } = exchange.head;
    const candidates = registry.listService(service);
    const loadingWeights = roster.listLoading();
    this.pacedUpstreams.observe(candidates, loadingWeights);
    const listEligible = (upstreams: readonly TrackedUpstream[]): readonly TrackedUpstream[] =>
      upstreams.filter(
        (upstream) =>
          !upstream.lacksConnection &&
          this.options.rejectionLimits.hasRoom(upstream) &&
          this.isEligible(exchange, upstream, excluded, loadingWeights),
      );
    if (!prompt) {
      const upstream = this.leastLoaded.choose(listEligible(candidates));
      return upstream && { upstream, prefillTokens: 0, firstTokenMs: 0, isOutdated: false };
    }
    const { objectiveMs } = requireRoute(exchange);
    const preferredZone = this.findSessionStoreZone(exchange, prompt) ?? zone;
    let decision: UpstreamDecision | undefined;
    const lane = pickLane(prompt, this.prefillRate.tokensPerMs, {
      firstTokenMs: this.findShortestObjective(service),
      gapMs: this.options.operators.view?.findShortestGapMs(service) ?? Infinity,
    });
    // With direct reports, figures are fresh enough to route short prompts around long ones.
    const groups = listEngineGroups(prompt, candidates, preferredZone, {
      listLane: (all) =>
        this.options.relays.isAggregating ? this.promptLanes.listEngines(lane, all) : all,
      random: this.options.random,
    });
    for (const group of groups) {
      const { engines, isSingleZone, objectiveFraction } = group;
      const eligible = listEligible(engines);
      const open = this.pacedUpstreams.listOpen(eligible);
      const sendingVms = this.countSendingVms(isSingleZone);
      decision = this.chooseEngine(exchange, prompt, service, { engines: open, sendingVms });
      // No prompt is refused, or run on old weights, for the sake of a pace.
      const isLast = group === groups.at(-1);
      if (isLast && open.length < eligible.length && !isCurrentChoice(decision)) {
        decision = this.chooseEngine(exchange, prompt, service, { engines: eligible, sendingVms });
      }
      const isInTime =
        isCurrentChoice(decision) && decision.firstTokenMs <= objectiveMs * objectiveFraction;
      if (isInTime) break;
    }
    if (decision && !('retryAfterMs' in decision)) {
      this.promptLanes.recordPrompt(lane, decision.prefillTokens);
    }
    return decision;
  }

  /**
   * Returns the time until the first upstream ends its rest or may get a permit; undefined unless
   * all of them wait for that.
   */
  findShortestWait(
    exchange: GatewayExchange,
    service: ServiceName,
    excluded: ReadonlySet<UpstreamId>,
  ): PromptRefusal | undefined {
    const { registry, rateLimits } = this.options;
    const waits = registry
      .listService(service)
      .filter((upstream) => this.isUsable(exchange, upstream, excluded))
      .map(({ restMs, registered }) => {
        const rateWaitMs = rateLimits.computeRetryAfterMs(registered);
        return { retryAfterMs: Math.max(restMs, rateWaitMs), isRateLimited: rateWaitMs > restMs };
      })
      .sort((left, right) => left.retryAfterMs - right.retryAfterMs);
    const shortest = waits[0];
    return shortest && shortest.retryAfterMs > 0 ? shortest : undefined;
  }

  /** Finds the availability zone whose store holds the session of a prompt, for the newest weights. */
  private findSessionStoreZone(
    exchange: GatewayExchange,
    prompt: Prompt,
  ): AvailabilityZoneId | undefined {
    const session = findSessionPart(prompt);
    if (!session) return undefined;
    const wanted = this.options.operators.findWeights(prompt.model)?.wanted;
    const key = buildBlockKey(buildSalt(exchange, wanted), session.id);
    return this.options.blocks.findFetchSource(key, session.tokens)?.availabilityZone;
  }

  /** Counts the VMs that send requests to the same engines. */
  private countSendingVms(isSingleZone: boolean): number {
    const { roster, zone } = this.options;
    const serving = roster.listServing();
    const sendingVms = isSingleZone
      ? serving.filter(({ availabilityZone }) => availabilityZone === zone)
      : serving;
    return Math.max(1, sendingVms.length);
  }

  private chooseEngine(
    exchange: GatewayExchange,
    prompt: Prompt,
    service: ServiceName,
    { engines, sendingVms }: { engines: readonly TrackedUpstream[]; sendingVms: number },
  ): UpstreamDecision | undefined {
    const weights = this.options.operators.findWeights(prompt.model);
    const route = requireRoute(exchange);
    return this.promptRouter.choose(
      {
        prompt,
        wantedWeights: weights?.wanted,
        objectiveMs: route.objectiveMs,
        callerTimeoutMs: computeMaxFirstEventWaitMs(route),
        engineCapacityTokens: this.findEngineSettings(service)?.capacityTokens ?? Infinity,
        senderCount: sendingVms,
        // Engines are kept free for prompts that are as urgent, not for shorter ones that are less so.
        shortestObjectiveMs: Math.min(
          route.objectiveMs,
          this.findShortestObjective(service, getPriority(exchange)),
        ),
        wantedWeightsAgeMs: weights ? computeMaxWeightsAgeMs(weights) : 0,
        buildCacheKey: (partId, loadedWeights) =>
          buildBlockKey(buildSalt(exchange, loadedWeights), partId),
        bytesPerToken: this.findEngineSettings(service)?.bytesPerToken ?? 0,
        findStore: (key, tokens) => this.options.blocks.findFetchSource(key, tokens),
      },
      engines,
    );
  }

  private findShortestObjective(service: ServiceName, priority?: number): number {
    return this.options.operators.view?.findShortestObjectiveMs(service, priority) ?? Infinity;
  }

  private findEngineSettings(service: ServiceName): EngineSettings | undefined {
    return this.options.operators.view?.findService(service)?.engine;
  }

  /** Whether newer weights were announced so long ago that no request may start on the old ones. */
  private hasOutdatedWeights(exchange: GatewayExchange, upstream: TrackedUpstream): boolean {
    const model = exchange.head.prompt?.model;
    const loaded = model === undefined ? undefined : upstream.findWeights(model);
    if (model === undefined || loaded === undefined) return false;
    const superseding = this.options.operators.findSuperseding(model, loaded);
    if (!superseding) return false;
    const limitMs = computeOutdatedWeightsLimitMs(
      requireRoute(exchange),
      this.options.bounds.weightsInForceMs,
    );
    return computeMaxWeightsAgeMs(superseding) > limitMs;
  }
}
