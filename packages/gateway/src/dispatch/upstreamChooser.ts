import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import {
  ColdStartBudget,
  PrefillRate,
  PromptRouter,
  buildBlockKey,
  computeColdShare,
  computeLongestElapsed,
  findSessionPart,
  listEngineGroups,
  listSharedParts,
  pickDestination,
} from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  BlockDirectory,
  ColdBound,
  EjectionPolicy,
  EngineSettings,
  EntryRoster,
  OperatorState,
  Prompt,
  PromptChoice,
  PromptDecision,
  RegionId,
  RouteRule,
  SentParts,
  ServiceName,
  TrackedUpstream,
  UpstreamId,
  UpstreamRegistry,
  VmId,
} from '@goldcrestscale/core';
import { buildSalt } from './cacheIdentity.js';
import { OLD_WEIGHTS_SHARE } from '../constants.js';
import type { GatewayExchange } from '../filters/exchange.js';
import { requireRoute } from '../filters/exchange.js';
import type { FleetBounds } from '../config.js';

/** What the chooser reads. */
export interface ChooserOptions {
  readonly self: VmId;
  readonly zone: AvailabilityZoneId;
  readonly bounds: FleetBounds;
  readonly regions: ReadonlyMap<AvailabilityZoneId, RegionId>;
  readonly registry: UpstreamRegistry;
  readonly operators: OperatorState;
  readonly roster: EntryRoster;
  readonly blocks: BlockDirectory;
  readonly ejection: EjectionPolicy;
  readonly sent: SentParts;
  readonly random: RandomGenerator;
}

/** Shortest time for which callers wait for a stream's first event, in milliseconds. */
const LEAST_PATIENCE_MS = 2_000;

/** Objectives, and pauses between events, for which callers wait at the most. */
const PATIENCE_OBJECTIVES = 4;
const PATIENCE_GAPS = 8;

const computePatience = ({ objectiveMs, gapObjectiveMs }: RouteRule): number =>
  Math.max(
    LEAST_PATIENCE_MS,
    objectiveMs * PATIENCE_OBJECTIVES,
    (gapObjectiveMs ?? 0) * PATIENCE_GAPS,
  );

/** An upstream for an attempt, and what is expected there. */
export type UpstreamChoice = PromptChoice;

/** An upstream, or how long none can serve the request in time. */
export type UpstreamDecision = PromptDecision;

/** Chooses the upstream of an attempt among those that may get it now. */
export class UpstreamChooser {
  readonly rate = new PrefillRate();

  private readonly router: PromptRouter;

  private readonly cold = new ColdStartBudget();

  constructor(private readonly options: ChooserOptions) {
    this.router = new PromptRouter(options.sent, this.rate);
  }

  /** Picks the service of a request among its route's destinations. */
  pickService(exchange: GatewayExchange): ServiceName | undefined {
    return pickDestination(requireRoute(exchange), uniformFloat64(this.options.random));
  }

  /** @returns undefined where no upstream may get the request now */
  choose(
    exchange: GatewayExchange,
    service: ServiceName,
    excluded: ReadonlySet<UpstreamId>,
  ): UpstreamDecision | undefined {
    const chosen = this.chooseInGroups(exchange, service, excluded);
    if (!chosen || 'refusedForMs' in chosen || !chosen.upstream.isCold) return chosen;
    const share = this.computeShare(chosen.upstream);
    return !share || this.cold.tryTake(chosen.upstream.upstreamId, share) ? chosen : undefined;
  }

  /** Tells whether an upstream may still get a request; nothing awaits between this and the send. */
  canServe(
    exchange: GatewayExchange,
    upstream: TrackedUpstream,
    excluded: ReadonlySet<UpstreamId>,
  ): boolean {
    const { operators, ejection, regions } = this.options;
    const { registered } = upstream;
    const region = regions.get(registered.availabilityZone);
    const isAllowed = (allowed: readonly RegionId[] | undefined): boolean =>
      !allowed?.length || (region !== undefined && allowed.includes(region));
    return (
      !registered.draining &&
      !excluded.has(upstream.upstreamId) &&
      !operators.isZoneOut(registered.availabilityZone) &&
      isAllowed(exchange.route?.regions) &&
      isAllowed(exchange.account?.regions) &&
      ejection.getState(upstream.upstreamId) !== 'open' &&
      this.hasColdRoom(upstream) &&
      !this.hasOutdatedWeights(exchange, upstream)
    );
  }

  /** Notes that the parts of a prompt are being read at an upstream. */
  noteSent(exchange: GatewayExchange, upstream: TrackedUpstream): void {
    const { prompt } = exchange.head;
    if (!prompt) return;
    const salt = buildSalt(exchange, upstream.findWeights(prompt.model));
    listSharedParts(prompt).forEach(({ id }) =>
      this.options.sent.note(buildBlockKey(salt, id), upstream.upstreamId),
    );
  }

  private chooseInGroups(
    exchange: GatewayExchange,
    service: ServiceName,
    excluded: ReadonlySet<UpstreamId>,
  ): UpstreamDecision | undefined {
    const { registry, roster, zone } = this.options;
    const { prompt } = exchange.head;
    const all = registry.listService(service);
    const loading = roster.listLoading();
    const listFree = (upstreams: readonly TrackedUpstream[]): readonly TrackedUpstream[] =>
      upstreams.filter(
        (upstream) =>
          !upstream.isBusy &&
          !loading.has(upstream.upstreamId) &&
          this.canServe(exchange, upstream, excluded),
      );
    if (!prompt) {
      const upstream = this.chooseLeastLoaded(listFree(all));
      return upstream && { upstream, readTokens: 0, firstTokenMs: 0, isOutdated: false };
    }
    const { objectiveMs } = requireRoute(exchange);
    const home = this.findStoreZone(exchange, prompt) ?? zone;
    let decision: UpstreamDecision | undefined;
    for (const { engines, isNear, objectiveShare } of listEngineGroups(prompt, all, home)) {
      decision = this.chooseEngine(exchange, prompt, service, {
        engines: listFree(engines),
        senders: this.countSenders(isNear),
      });
      const isInTime =
        decision &&
        !('refusedForMs' in decision) &&
        !decision.isOutdated &&
        decision.firstTokenMs <= objectiveMs * objectiveShare;
      if (isInTime) return decision;
    }
    return decision;
  }

  /** Finds the zone in which the session of a prompt is stored, for the newest weights. */
  private findStoreZone(exchange: GatewayExchange, prompt: Prompt): AvailabilityZoneId | undefined {
    const session = findSessionPart(prompt);
    if (!session) return undefined;
    const wanted = this.options.operators.findWeights(prompt.model)?.wanted;
    const key = buildBlockKey(buildSalt(exchange, wanted), session.id);
    return this.options.blocks.findStore(key, session.tokens)?.availabilityZone;
  }

  /** Counts the VMs that send to the same engines. */
  private countSenders(isNear: boolean): number {
    const { roster, zone } = this.options;
    const serving = roster.listServing();
    const senders = isNear
      ? serving.filter(({ availabilityZone }) => availabilityZone === zone)
      : serving;
    return Math.max(1, senders.length);
  }

  private chooseEngine(
    exchange: GatewayExchange,
    prompt: Prompt,
    service: ServiceName,
    { engines, senders }: { engines: readonly TrackedUpstream[]; senders: number },
  ): UpstreamDecision | undefined {
    const weights = this.options.operators.findWeights(prompt.model);
    const route = requireRoute(exchange);
    return this.router.choose(
      {
        prompt,
        wanted: weights?.wanted,
        objectiveMs: route.objectiveMs,
        patienceMs: computePatience(route),
        engineTokens: this.findEngine(service)?.capacityTokens ?? Infinity,
        fleetSize: senders,
        shortestObjectiveMs: this.findShortestObjective(service),
        wantedForMs: weights ? computeLongestElapsed(weights.learnedAt) : 0,
        buildKey: (partId, held) => buildBlockKey(buildSalt(exchange, held), partId),
        bytesPerToken: this.findEngine(service)?.bytesPerToken ?? 0,
        findStore: (key, tokens) => this.options.blocks.findStore(key, tokens),
      },
      engines,
    );
  }

  private chooseLeastLoaded(candidates: readonly TrackedUpstream[]): TrackedUpstream | undefined {
    let best: TrackedUpstream | undefined;
    let least = Infinity;
    candidates.forEach((candidate) => {
      const load =
        (candidate.estimateLoad() + uniformFloat64(this.options.random)) /
        Math.max(1, candidate.registered.slots);
      if (load >= least) return;
      best = candidate;
      least = load;
    });
    return best;
  }

  private findShortestObjective(service: ServiceName): number {
    return this.options.operators.view?.findShortestObjective(service) ?? Infinity;
  }

  private findEngine(service: ServiceName): EngineSettings | undefined {
    return this.options.operators.view?.findService(service)?.engine;
  }

  private hasColdRoom(upstream: TrackedUpstream): boolean {
    if (!upstream.isCold) return true;
    const share = this.computeShare(upstream);
    return !share || this.cold.canTake(upstream.upstreamId, share);
  }

  private computeShare(upstream: TrackedUpstream) {
    const { operators, bounds, roster, self } = this.options;
    const service = operators.view?.findService(upstream.registered.service);
    if (!service || service.coldRequestsPerSecond <= 0) return undefined;
    const bound: ColdBound = {
      requestsPerSecond: service.coldRequestsPerSecond,
      overrun: bounds.coldOverrun,
      slack: bounds.coldSlack,
    };
    return computeColdShare({
      self,
      sharing: roster.listSharing(),
      upstreamId: upstream.upstreamId,
      bound,
    });
  }

  /** Newer weights were named so long ago that the old ones must not begin a run any more. */
  private hasOutdatedWeights(exchange: GatewayExchange, upstream: TrackedUpstream): boolean {
    const model = exchange.head.prompt?.model;
    const weights = model === undefined ? undefined : this.options.operators.findWeights(model);
    const held = model === undefined ? undefined : upstream.findWeights(model);
    if (!weights || held === undefined || held >= weights.wanted) return false;
    const limitMs = this.options.bounds.weightsInForceMs * OLD_WEIGHTS_SHARE;
    return computeLongestElapsed(weights.learnedAt) > limitMs;
  }
}
