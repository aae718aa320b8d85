import { computeFetchTimeMs } from '../blockStores/index.js';
import type { BlockStoreSettings } from '../deployment/index.js';
import type { WeightNumber } from '../ids.js';
import { rankByRendezvous } from '../membership/rendezvous.js';
import type { TrackedUpstream } from '../fleet/index.js';
import {
  NON_HOME_COST_MS,
  RESERVED_ENGINES_KEY,
  MAX_RESERVED_FRACTION,
  RESERVED_ENGINES_HEADROOM,
  COST_PER_REQUEST_MS,
  LONG_PROMPT_FRACTION,
  PROMPT_MEMORY_FRACTION,
  OUTDATED_WEIGHTS_COST_MS,
  OUTDATED_WEIGHTS_GRACE_MS,
  OVERLOAD_QUEUE_FRACTION,
  MAX_QUEUE_TIMEOUT_FRACTION,
} from './constants.js';
import type { PrefillRate } from './prefillRate.js';
import type { Prompt } from './prompt.js';
import { findSessionPart } from './prompt.js';
import type { KeyedPart } from './sharedParts.js';
import { SharedParts } from './sharedParts.js';
import { ShortPromptDemand } from './shortPromptDemand.js';
import type { SentParts } from './sentParts.js';

/** A prompt to be routed. */
export interface PromptRequest {
  readonly prompt: Prompt;
  /** Newest weights requested by the operators. */
  readonly wantedWeights: WeightNumber | undefined;
  /** Time since these weights were requested, in milliseconds. */
  readonly wantedWeightsAgeMs: number;
  /** Objective for the time to first token, in milliseconds. */
  readonly objectiveMs: number;
  /** Time after which the caller gives up, in milliseconds. */
  readonly callerTimeoutMs: number;
  /** Shortest objective of all requests at these engines, in milliseconds. */
  readonly shortestObjectiveMs: number;
  /** Memory capacity of one engine, in tokens. */
  readonly engineCapacityTokens: number;
  /** Number of entry VMs that send to these engines. */
  readonly senderCount: number;
  /** Returns the key under which an engine with the given weights caches a part. */
  buildCacheKey(partId: string, weights: WeightNumber | undefined): string;
  /** Cache size of one token, in bytes. */
  readonly bytesPerToken: number;
  /** Finds a block store that holds the part with the given key. */
  findStore(key: string, tokens: number): BlockStoreSettings | undefined;
}

/** The engine chosen for a prompt, with estimates. */
export interface PromptChoice {
  readonly upstream: TrackedUpstream;
  /** Prompt tokens that the engine has to prefill. */
  readonly prefillTokens: number;
  /** Estimated time to first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Whether the engine runs on outdated weights. */
  readonly isOutdated: boolean;
}

/** Returned if no engine can serve the prompt in time. */
export interface PromptRefusal {
  /** Time after which a retry makes sense, in milliseconds. */
  readonly retryAfterMs: number;
  /** Whether the rate limits of upstreams are the cause. */
  readonly isRateLimited?: boolean;
}

/** Result of routing a prompt. */
export type PromptDecision = PromptChoice | PromptRefusal;

interface EstimatedChoice extends PromptChoice {
  /** Time until the engine begins to prefill the prompt, in milliseconds. */
  readonly queueMs: number;
  /** Time to first token plus cost penalties, in milliseconds. */
  readonly costMs: number;
}

const pickCheapest = (estimates: readonly EstimatedChoice[]): EstimatedChoice | undefined =>
  estimates.reduce<EstimatedChoice | undefined>(
    (cheapest, next) => (cheapest && cheapest.costMs <= next.costMs ? cheapest : next),
    undefined,
  );

/** Work needed for the parts of a prompt that an engine has not cached. */
interface MissingPartsEstimate {
  readonly prefillTokens: number;
  /** Time to fetch parts from block stores, in milliseconds. */
  readonly fetchMs: number;
}

/**
 * Counts the tokens that exceed an engine's memory. The engine preempts that amount of work and
 * has to prefill it again later.
 */
const countOverflowTokens = (request: PromptRequest, upstream: TrackedUpstream): number => {
  const usedTokens = upstream.estimateInFlightTokens() + request.prompt.inputTokens;
  return Math.max(0, usedTokens - request.engineCapacityTokens * PROMPT_MEMORY_FRACTION);
};

const isOverloaded = (request: PromptRequest, estimates: readonly EstimatedChoice[]): boolean => {
  const totalQueueMs = estimates.reduce((sum, { queueMs }) => sum + queueMs, 0);
  return totalQueueMs / estimates.length > request.shortestObjectiveMs * OVERLOAD_QUEUE_FRACTION;
};

/** A cost and no queue: failures must not have prompts refused for overload. */
const computeFailureCostMs = ({ failureLoad }: TrackedUpstream): number =>
  failureLoad.requests * COST_PER_REQUEST_MS + failureLoad.queueMs;

/**
 * Outdated weights stay usable while few engines have the new ones, but responses from them are
 * worth less.
 */
const hasOutdatedWeights = (request: PromptRequest, upstream: TrackedUpstream): boolean => {
  const weights = upstream.findWeights(request.prompt.model);
  const isOlder =
    request.wantedWeights !== undefined && weights !== undefined && weights < request.wantedWeights;
  return isOlder && request.wantedWeightsAgeMs > OUTDATED_WEIGHTS_GRACE_MS;
};

/**
 * Chooses the engine with the lowest estimated time to first token. All VMs map a session to the
 * same home engine by rendezvous hashing, without coordination; another engine is chosen once the
 * queue at the home engine costs more than fetching or prefilling the shared parts elsewhere.
 *
 * Designed for many sessions that return after idle periods, and for single sessions that receive
 * much of the traffic.
 */
export class PromptRouter {
  private readonly shortPromptDemand = new ShortPromptDemand();

  constructor(
    private readonly sentParts: SentParts,
    private readonly prefill: PrefillRate,
  ) {}

  choose(
    request: PromptRequest,
    candidates: readonly TrackedUpstream[],
  ): PromptDecision | undefined {
    const sessionPart = findSessionPart(request.prompt);
    const ids = candidates.map(({ upstreamId }) => upstreamId);
    const homeId = sessionPart ? rankByRendezvous(sessionPart.id, ids)[0] : undefined;
    const sharedParts = new SharedParts(request);
    const estimates = candidates.map((candidate) => {
      const missing = this.computeMissingParts(request, candidate, {
        isHome: candidate.upstreamId === homeId,
        parts: sharedParts.list(candidate.findWeights(request.prompt.model)),
      });
      const choice = this.estimateChoice(request, candidate, missing);
      const nonHomeCostMs = candidate.upstreamId === homeId ? 0 : NON_HOME_COST_MS;
      const outdatedCostMs = choice.isOutdated ? OUTDATED_WEIGHTS_COST_MS : 0;
      const penaltiesMs = nonHomeCostMs + outdatedCostMs + computeFailureCostMs(candidate);
      return { ...choice, costMs: choice.firstTokenMs + penaltiesMs };
    });
    return this.chooseWithOverloadControl(request, estimates);
  }

  /**
   * Handles overload by long prompts. Some engines are then reserved for short prompts, so that
   * these still meet their objective. A long prompt that will miss its objective anyway joins the
   * longest queue, so that later ones can meet theirs at other engines.
   */
  private chooseWithOverloadControl(
    request: PromptRequest,
    estimates: readonly EstimatedChoice[],
  ): PromptDecision | undefined {
    const cheapest = pickCheapest(estimates);
    if (!cheapest) return undefined;
    if (!this.isLongPrompt(request, cheapest)) {
      this.shortPromptDemand.recordPrompt(cheapest.prefillTokens);
      return cheapest;
    }
    if (!isOverloaded(request, estimates)) return cheapest;
    const ids = estimates.map(({ upstream }) => upstream.upstreamId);
    const reservedIds = new Set(
      rankByRendezvous(RESERVED_ENGINES_KEY, ids).slice(
        0,
        this.countReservedEngines(request, ids.length),
      ),
    );
    const eligible = estimates.filter(({ upstream }) => !reservedIds.has(upstream.upstreamId));
    const cheapestEligible = pickCheapest(eligible);
    if (!cheapestEligible || cheapestEligible.firstTokenMs <= request.objectiveMs)
      return cheapestEligible ?? cheapest;
    const longest = eligible.reduce((left, right) => (right.queueMs > left.queueMs ? right : left));
    if (longest.queueMs < request.callerTimeoutMs * MAX_QUEUE_TIMEOUT_FRACTION) return longest;
    // The caller would time out in the queue and take a place from prompts that can be served.
    return { retryAfterMs: Math.round(cheapestEligible.firstTokenMs - request.objectiveMs) };
  }

  /** Counts the engines needed for the short prompts of all VMs. */
  private countReservedEngines(
    { senderCount: fleetSize }: PromptRequest,
    engineCount: number,
  ): number {
    const averageEngines =
      (this.shortPromptDemand.tokensPerMs * fleetSize) / this.prefill.tokensPerMs;
    const wantedEngines = Math.ceil(averageEngines * RESERVED_ENGINES_HEADROOM);
    return Math.min(Math.floor(engineCount * MAX_RESERVED_FRACTION), Math.max(1, wantedEngines));
  }

  private isLongPrompt(request: PromptRequest, { prefillTokens: tokens }: PromptChoice): boolean {
    return tokens / this.prefill.tokensPerMs > request.shortestObjectiveMs * LONG_PROMPT_FRACTION;
  }

  private estimateChoice(
    request: PromptRequest,
    upstream: TrackedUpstream,
    { prefillTokens, fetchMs }: MissingPartsEstimate,
  ): PromptChoice & { readonly queueMs: number } {
    const tokensPerMs = this.prefill.tokensPerMs / upstream.lastingSlowdown;
    const queueMs =
      upstream.estimateLoad() * COST_PER_REQUEST_MS +
      (upstream.estimatePendingTokens() + countOverflowTokens(request, upstream)) / tokensPerMs;
    const firstTokenMs = queueMs + fetchMs + prefillTokens / tokensPerMs;
    const choice = { upstream, prefillTokens, firstTokenMs, queueMs };
    return { ...choice, isOutdated: hasOutdatedWeights(request, upstream) };
  }

  private computeMissingParts(
    { prompt, bytesPerToken }: PromptRequest,
    upstream: TrackedUpstream,
    { isHome, parts }: { readonly isHome: boolean; readonly parts: readonly KeyedPart[] },
  ): MissingPartsEstimate {
    const { availabilityZone } = upstream.registered;
    let prefillTokens = prompt.inputTokens;
    let fetchMs = 0;
    parts.forEach(({ key, tokens, store }) => {
      // A stored part has been prefilled before, most likely at the session's home engine.
      const isCached =
        this.sentParts.has(key, upstream.upstreamId) || (store !== undefined && isHome);
      if (isCached || store) prefillTokens -= tokens;
      if (store && !isCached) {
        fetchMs += computeFetchTimeMs(store, { tokens, bytesPerToken }, availabilityZone);
      }
    });
    return { prefillTokens: Math.max(0, prefillTokens), fetchMs };
  }
}
