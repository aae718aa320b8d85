import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { ModelId, UpstreamId } from '../ids.js';
import type { HeldBlocks, PrefixIndex } from '../prefix/prefixIndex.js';
import {
  LEAST_LOADED_CANDIDATES,
  LINK_COST_FRACTION,
  MAX_HOLDER_CANDIDATES,
  NEAR_EQUAL_COST_MARGIN_MS,
  NEAR_EQUAL_COST_MARGIN_FRACTION,
} from './constants.js';
import { estimateQueueMs, getPrefillTokensPerMs, hasColdSlot } from './estimate.js';
import { emptyImportSource, planImports } from './importPlan.js';
import type { ImportPlan, ImportSource, StoredCopy } from './importPlan.js';
import { Router } from './router.js';
import type { Route, RouteRequest, UpstreamView } from './router.js';
import { UpstreamPool } from './upstreamPool.js';

/** Dependencies of a least-time router. */
export interface LeastTimeRouterOptions {
  readonly prefixIndex: PrefixIndex;
  /** Random number generator for choosing among near-equal upstreams. */
  readonly random: RandomGenerator;
  /** Source of stored blocks to import. @default none */
  readonly importSource?: ImportSource;
}

interface Candidate {
  readonly route: Route;
  readonly costMs: number;
}

interface PrefixLocations {
  readonly heldByUpstream: ReadonlyMap<UpstreamId, HeldBlocks>;
  /** Copies on store VMs, by block position. */
  readonly copiesByPosition: readonly (readonly StoredCopy[])[];
}

const hasRequiredWeightVersion = (view: UpstreamView, request: RouteRequest): boolean =>
  request.weightVersion === undefined ||
  view.role === 'service' ||
  view.weightVersion === request.weightVersion;

const sumLeadingTokens = (request: RouteRequest, blockCount: number): number =>
  request.blocks.slice(0, blockCount).reduce((sum, block) => sum + block.tokens, 0);

/**
 * Chooses the upstream with the lowest estimated cost, based on the time to first token: queueing,
 * prefill of uncached blocks, and imports at the current link shares. The workload's weights
 * balance latency against recomputation. Only holders of the prompt's blocks and a few of the
 * least-loaded upstreams are considered, so the cost of routing is independent of the fleet size.
 */
export class LeastTimeRouter extends Router {
  private readonly prefixIndex: PrefixIndex;

  private readonly random: RandomGenerator;

  private readonly importSource: ImportSource;

  constructor(options: LeastTimeRouterOptions) {
    super();
    this.prefixIndex = options.prefixIndex;
    this.random = options.random;
    this.importSource = options.importSource ?? emptyImportSource;
  }

  override choose(request: RouteRequest, upstreams: readonly UpstreamView[]): Route | undefined {
    const model = request.workload.model ?? upstreams[0]?.model;
    return this.chooseFromPool(request, UpstreamPool.create(upstreams), model);
  }

  /** Chooses from a pool that is maintained between requests. */
  chooseFromPool(
    request: RouteRequest,
    pool: UpstreamPool,
    model: ModelId | undefined = request.workload.model,
  ): Route | undefined {
    const canServe = (view: UpstreamView): boolean =>
      view.eligible &&
      view.model === model &&
      hasRequiredWeightVersion(view, request) &&
      !request.excludedUpstreams.has(view.upstreamId) &&
      hasColdSlot(view);
    const isInPreferredZone = (view: UpstreamView): boolean =>
      canServe(view) && !request.avoidedZones.has(view.availabilityZone);
    return (
      this.chooseAcceptable(request, pool, model, isInPreferredZone) ??
      this.chooseAcceptable(request, pool, model, canServe)
    );
  }

  private chooseAcceptable(
    request: RouteRequest,
    pool: UpstreamPool,
    model: ModelId | undefined,
    accept: (view: UpstreamView) => boolean,
  ): Route | undefined {
    const prefixLocations = this.findPrefixLocations(request);
    const holders = [...prefixLocations.heldByUpstream.values()]
      .map((held) => pool.get(held.upstreamId))
      .filter((view): view is UpstreamView => view !== undefined && accept(view))
      .slice(0, MAX_HOLDER_CANDIDATES);
    const leastLoaded = pool.pickLeastLoaded(model, LEAST_LOADED_CANDIDATES, this.random, accept);
    const candidates = [...new Set([...holders, ...leastLoaded])].map((view) =>
      this.evaluateUpstream(request, view, prefixLocations),
    );
    return this.pickNearBest(candidates);
  }

  private findPrefixLocations(request: RouteRequest): PrefixLocations {
    const copies = request.blocks.map((block) => this.importSource.listCopies(block.key));
    const holders = this.prefixIndex.findHolders(
      request.blocks,
      (position) => copies[position]!.length > 0,
    );
    const heldByUpstream = new Map(
      holders
        .sort((left, right) => right.leadingCount - left.leadingCount)
        .map((entry) => [entry.upstreamId, entry]),
    );
    return { heldByUpstream, copiesByPosition: copies };
  }

  private evaluateUpstream(
    request: RouteRequest,
    view: UpstreamView,
    prefixLocations: PrefixLocations,
  ): Candidate {
    const heldBlocks = prefixLocations.heldByUpstream.get(view.upstreamId);
    const leadingBlocks = heldBlocks?.leadingCount ?? 0;
    const planWithoutImports: ImportPlan = {
      imports: [],
      leadingBlocks,
      importMs: 0,
    };
    const planWithImports = planImports(
      request.blocks,
      prefixLocations.copiesByPosition,
      heldBlocks?.positions ?? [],
      view.upstreamId,
      this.importSource,
    );
    const withoutImports = this.evaluatePlan(request, view, planWithoutImports, leadingBlocks);
    if (planWithImports.imports.length === 0 || !Number.isFinite(planWithImports.importMs))
      return withoutImports;
    const withImports = this.evaluatePlan(request, view, planWithImports, leadingBlocks);
    return withImports.costMs < withoutImports.costMs ? withImports : withoutImports;
  }

  private evaluatePlan(
    request: RouteRequest,
    view: UpstreamView,
    plan: ImportPlan,
    heldLeadingBlocks: number,
  ): Candidate {
    const { latencyWeight, recomputeWeight } = request.workload;
    const accuracy = this.prefixIndex.getAccuracy(view.upstreamId);
    const heldTokens = sumLeadingTokens(request, heldLeadingBlocks) * accuracy;
    const importedTokens =
      sumLeadingTokens(request, plan.leadingBlocks) - sumLeadingTokens(request, heldLeadingBlocks);
    const cachedTokens = heldTokens + importedTokens;
    const prefillMs = (request.promptTokens - cachedTokens) / getPrefillTokensPerMs(view);
    const firstTokenMs = Math.max(estimateQueueMs(view), plan.importMs) + prefillMs;
    return {
      route: {
        upstreamId: view.upstreamId,
        imports: plan.imports,
        estimatedFirstTokenMs: firstTokenMs,
        expectedCachedTokens: Math.round(cachedTokens),
      },
      costMs:
        latencyWeight * firstTokenMs +
        recomputeWeight * (prefillMs + LINK_COST_FRACTION * plan.importMs),
    };
  }

  /**
   * Picks at random among near-equal candidates, so that stale load figures cause no thundering
   * herd.
   */
  private pickNearBest(candidates: readonly Candidate[]): Route | undefined {
    if (candidates.length === 0) return undefined;
    const leastCostMs = Math.min(...candidates.map(({ costMs }) => costMs));
    const maxCostMs =
      leastCostMs +
      Math.max(NEAR_EQUAL_COST_MARGIN_MS, leastCostMs * NEAR_EQUAL_COST_MARGIN_FRACTION);
    const nearBest = candidates.filter(({ costMs }) => costMs <= maxCostMs);
    return nearBest[nearBest.length > 1 ? uniformInt(this.random, 0, nearBest.length - 1) : 0]!
      .route;
  }
}
