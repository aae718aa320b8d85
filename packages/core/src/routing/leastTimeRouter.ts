import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { ModelId, UpstreamId } from '../ids.js';
import type { HeldBlocks, PrefixIndex } from '../prefix/prefixIndex.js';
import {
  LEAST_LOADED_CANDIDATES,
  LINK_COST_SHARE,
  MAX_HOLDER_CANDIDATES,
  NEAR_EQUAL_MS,
  NEAR_EQUAL_SHARE,
} from './constants.js';
import { estimateQueueMs, getPrefillRate, hasColdSlot } from './estimate.js';
import { noImportSource, planImports } from './importPlan.js';
import type { ImportPlan, ImportSource, StoredCopy } from './importPlan.js';
import { Router } from './router.js';
import type { Route, RouteRequest, UpstreamView } from './router.js';
import { UpstreamPool } from './upstreamPool.js';

/** What a router that reuses prefixes works with. */
export interface LeastTimeRouterOptions {
  readonly index: PrefixIndex;
  /** Seeded source of chance among near-equal upstreams. */
  readonly random: RandomGenerator;
  /** Store VMs to import from. @default none */
  readonly source?: ImportSource;
}

interface Candidate {
  readonly route: Route;
  readonly cost: number;
}

interface PrefixView {
  readonly held: ReadonlyMap<UpstreamId, HeldBlocks>;
  /** Copies at store VMs, by position. */
  readonly copies: readonly (readonly StoredCopy[])[];
}

const hasWantedVersion = (view: UpstreamView, request: RouteRequest): boolean =>
  request.weightVersion === undefined ||
  view.role === 'service' ||
  view.weightVersion === request.weightVersion;

const sumTokens = (request: RouteRequest, count: number): number =>
  request.blocks.slice(0, count).reduce((sum, block) => sum + block.tokens, 0);

/**
 * Chooses the upstream with the least estimated time to first token: queue, prefill of what is
 * not cached, and imports at the present share of the links. The workload's weights set how much
 * recomputed work counts beside time. Only holders of the prompt's blocks and a few of the least
 * loaded upstreams are weighed, so the cost of a choice does not follow the size of the fleet.
 */
export class LeastTimeRouter extends Router {
  private readonly index: PrefixIndex;

  private readonly random: RandomGenerator;

  private readonly source: ImportSource;

  constructor(options: LeastTimeRouterOptions) {
    super();
    this.index = options.index;
    this.random = options.random;
    this.source = options.source ?? noImportSource;
  }

  override choose(request: RouteRequest, upstreams: readonly UpstreamView[]): Route | undefined {
    const model = request.workload.model ?? upstreams[0]?.model;
    return this.chooseFrom(request, UpstreamPool.create(upstreams), model);
  }

  /** Chooses from a pool that is kept between requests. */
  chooseFrom(
    request: RouteRequest,
    pool: UpstreamPool,
    model: ModelId | undefined = request.workload.model,
  ): Route | undefined {
    const canServe = (view: UpstreamView): boolean =>
      view.eligible &&
      view.model === model &&
      hasWantedVersion(view, request) &&
      !request.excluded.has(view.upstreamId) &&
      hasColdSlot(view);
    const isApart = (view: UpstreamView): boolean =>
      canServe(view) && !request.avoidedZones.has(view.availabilityZone);
    return (
      this.chooseAmong(request, pool, model, isApart) ??
      this.chooseAmong(request, pool, model, canServe)
    );
  }

  private chooseAmong(
    request: RouteRequest,
    pool: UpstreamPool,
    model: ModelId | undefined,
    accept: (view: UpstreamView) => boolean,
  ): Route | undefined {
    const prefix = this.findPrefix(request);
    const holders = [...prefix.held.values()]
      .map((held) => pool.get(held.upstreamId))
      .filter((view): view is UpstreamView => view !== undefined && accept(view))
      .slice(0, MAX_HOLDER_CANDIDATES);
    const idle = pool.pickLeastLoaded(model, LEAST_LOADED_CANDIDATES, this.random, accept);
    const candidates = [...new Set([...holders, ...idle])].map((view) =>
      this.weighUpstream(request, view, prefix),
    );
    return this.pickNearBest(candidates);
  }

  private findPrefix(request: RouteRequest): PrefixView {
    const copies = request.blocks.map((block) => this.source.listCopies(block.key));
    const found = this.index.findHolders(
      request.blocks,
      (position) => copies[position]!.length > 0,
    );
    const held = new Map(
      found
        .sort((left, right) => right.leading - left.leading)
        .map((entry) => [entry.upstreamId, entry]),
    );
    return { held, copies };
  }

  private weighUpstream(request: RouteRequest, view: UpstreamView, prefix: PrefixView): Candidate {
    const held = prefix.held.get(view.upstreamId);
    const leading = held?.leading ?? 0;
    const plain: ImportPlan = { imports: [], leading, importMs: 0 };
    const full = planImports(
      request.blocks,
      prefix.copies,
      held?.positions ?? [],
      view.upstreamId,
      this.source,
    );
    const without = this.weighPlan(request, view, plain, leading);
    if (full.imports.length === 0 || !Number.isFinite(full.importMs)) return without;
    const withImports = this.weighPlan(request, view, full, leading);
    return withImports.cost < without.cost ? withImports : without;
  }

  private weighPlan(
    request: RouteRequest,
    view: UpstreamView,
    plan: ImportPlan,
    leading: number,
  ): Candidate {
    const { latencyWeight, recomputeWeight } = request.workload;
    const trust = this.index.getTrust(view.upstreamId);
    const heldTokens = sumTokens(request, leading) * trust;
    const importedTokens = sumTokens(request, plan.leading) - sumTokens(request, leading);
    const cachedTokens = heldTokens + importedTokens;
    const prefillMs = (request.promptTokens - cachedTokens) / getPrefillRate(view);
    const firstTokenMs = Math.max(estimateQueueMs(view), plan.importMs) + prefillMs;
    return {
      route: {
        upstreamId: view.upstreamId,
        imports: plan.imports,
        estimatedFirstTokenMs: firstTokenMs,
        expectedCachedTokens: Math.round(cachedTokens),
      },
      cost:
        latencyWeight * firstTokenMs +
        recomputeWeight * (prefillMs + LINK_COST_SHARE * plan.importMs),
    };
  }

  /** Picks by chance among near-equal candidates, so that lagged load draws no herd. */
  private pickNearBest(candidates: readonly Candidate[]): Route | undefined {
    if (candidates.length === 0) return undefined;
    const least = Math.min(...candidates.map(({ cost }) => cost));
    const limit = least + Math.max(NEAR_EQUAL_MS, least * NEAR_EQUAL_SHARE);
    const near = candidates.filter(({ cost }) => cost <= limit);
    return near[near.length > 1 ? uniformInt(this.random, 0, near.length - 1) : 0]!.route;
  }
}
