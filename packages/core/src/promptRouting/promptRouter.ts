import { computeFetchTime } from '../blockStores/index.js';
import type { BlockStoreSettings } from '../deployment/index.js';
import type { WeightNumber } from '../ids.js';
import { rankByRendezvous } from '../membership/rendezvous.js';
import type { TrackedUpstream } from '../fleet/index.js';
import {
  AWAY_COST_MS,
  EXPRESS_KEY,
  EXPRESS_MAX_SHARE,
  EXPRESS_RESERVE,
  LOAD_COST_MS,
  LONG_READ_SHARE,
  MEMORY_SHARE,
  OLD_WEIGHTS_COST_MS,
  OLD_WEIGHTS_GRACE_MS,
  OVERLOAD_SHARE,
  PATIENCE_SHARE,
} from './constants.js';
import type { PrefillRate } from './prefillRate.js';
import type { Prompt } from './prompt.js';
import { findSessionPart } from './prompt.js';
import type { KeyedPart } from './sharedParts.js';
import { SharedParts } from './sharedParts.js';
import { ShortDemand } from './shortDemand.js';
import type { SentParts } from './sentParts.js';

/** A prompt that needs an engine. */
export interface PromptRequest {
  readonly prompt: Prompt;
  /** Newest weights named by the operators. */
  readonly wanted: WeightNumber | undefined;
  /** Time since they were named, in milliseconds. */
  readonly wantedForMs: number;
  /** Time within which its first token is on time, in milliseconds. */
  readonly objectiveMs: number;
  /** Time after which its caller gives up, in milliseconds. */
  readonly patienceMs: number;
  /** Least objective of all requests at these engines, in milliseconds. */
  readonly shortestObjectiveMs: number;
  /** Tokens that one engine's memory holds. */
  readonly engineTokens: number;
  /** Entry VMs that send to these engines. */
  readonly fleetSize: number;
  /** Gives the key under which an engine with these weights caches a part. */
  buildKey(partId: string, held: WeightNumber | undefined): string;
  /** Bytes of cache that one token takes. */
  readonly bytesPerToken: number;
  /** Finds a store that holds the part under that key. */
  findStore(key: string, tokens: number): BlockStoreSettings | undefined;
}

/** An engine for a prompt, and what is expected there. */
export interface PromptChoice {
  readonly upstream: TrackedUpstream;
  /** Tokens that it has to read. */
  readonly readTokens: number;
  /** Time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Whether it runs on older weights, whose answers are worth less by now. */
  readonly isOutdated: boolean;
}

/** No engine can serve it in time; it is sensible to come back after that time. */
export interface PromptRefusal {
  /** In milliseconds. */
  readonly refusedForMs: number;
}

/** What becomes of a prompt. */
export type PromptDecision = PromptChoice | PromptRefusal;

interface WeighedChoice extends PromptChoice {
  /** Time until the engine begins to read the prompt, in milliseconds. */
  readonly queueMs: number;
  /** First token time and what else counts against the engine, in milliseconds. */
  readonly costMs: number;
}

const pickLeastCost = (weighed: readonly WeighedChoice[]): WeighedChoice | undefined =>
  weighed.reduce<WeighedChoice | undefined>(
    (least, next) => (least && least.costMs <= next.costMs ? least : next),
    undefined,
  );

/** What an engine lacks of a prompt. */
interface MissingParts {
  readonly readTokens: number;
  /** Time to bring what a store holds, in milliseconds. */
  readonly fetchMs: number;
}

/**
 * Tokens beyond an engine's memory: it preempts as much work, and reads it again later.
 */
const countOverflow = (request: PromptRequest, upstream: TrackedUpstream): number => {
  const held = upstream.estimateHeldTokens() + request.prompt.inputTokens;
  return Math.max(0, held - request.engineTokens * MEMORY_SHARE);
};

const isOverloaded = (request: PromptRequest, weighed: readonly WeighedChoice[]): boolean => {
  const totalMs = weighed.reduce((sum, { queueMs }) => sum + queueMs, 0);
  return totalMs / weighed.length > request.shortestObjectiveMs * OVERLOAD_SHARE;
};

/** Older weights serve on while few engines have the new ones, but their answers are worth less. */
const isOutdated = (request: PromptRequest, upstream: TrackedUpstream): boolean => {
  const held = upstream.findWeights(request.prompt.model);
  const isOld = request.wanted !== undefined && held !== undefined && held < request.wanted;
  return isOld && request.wantedForMs > OLD_WEIGHTS_GRACE_MS;
};

/**
 * Chooses the engine where a prompt's first token comes soonest. Requests of one session agree on
 * an engine by rendezvous without a message; a loaded engine gives way to others once its queue
 * costs more than fetching or reading the shared parts elsewhere.
 *
 * Load patterns: many sessions that return after gaps, and one session that gets much of the
 * traffic.
 */
export class PromptRouter {
  private readonly shortDemand = new ShortDemand();

  constructor(
    private readonly sent: SentParts,
    private readonly rate: PrefillRate,
  ) {}

  choose(
    request: PromptRequest,
    candidates: readonly TrackedUpstream[],
  ): PromptDecision | undefined {
    const session = findSessionPart(request.prompt);
    const ids = candidates.map(({ upstreamId }) => upstreamId);
    const home = session ? rankByRendezvous(session.id, ids)[0] : undefined;
    const parts = new SharedParts(request);
    const weighed = candidates.map((candidate) => {
      const missing = this.computeMissing(request, candidate, {
        isHome: candidate.upstreamId === home,
        parts: parts.list(candidate.findWeights(request.prompt.model)),
      });
      const choice = this.weigh(request, candidate, missing);
      const awayMs = candidate.upstreamId === home ? 0 : AWAY_COST_MS;
      return {
        ...choice,
        costMs: choice.firstTokenMs + awayMs + (choice.isOutdated ? OLD_WEIGHTS_COST_MS : 0),
      };
    });
    return this.chooseLane(request, weighed);
  }

  /**
   * Load pattern: more long prompts than the engines can read in time, beside many short ones.
   * Long ones then keep off some engines, so that short ones stay on time there; a long one that
   * will be late anyway joins the longest queue, so that the next ones are on time elsewhere.
   */
  private chooseLane(
    request: PromptRequest,
    weighed: readonly WeighedChoice[],
  ): PromptDecision | undefined {
    const least = pickLeastCost(weighed);
    if (!least) return undefined;
    if (!this.isLong(request, least)) {
      this.shortDemand.note(least.readTokens);
      return least;
    }
    if (!isOverloaded(request, weighed)) return least;
    const ids = weighed.map(({ upstream }) => upstream.upstreamId);
    const express = new Set(
      rankByRendezvous(EXPRESS_KEY, ids).slice(0, this.countExpress(request, ids.length)),
    );
    const lanes = weighed.filter(({ upstream }) => !express.has(upstream.upstreamId));
    const first = pickLeastCost(lanes);
    if (!first || first.firstTokenMs <= request.objectiveMs) return first ?? least;
    const longest = lanes.reduce((left, right) => (right.queueMs > left.queueMs ? right : left));
    if (longest.queueMs < request.patienceMs * PATIENCE_SHARE) return longest;
    // Its caller would leave before its turn, and the place would be lost to those that can be served.
    return { refusedForMs: Math.round(first.firstTokenMs - request.objectiveMs) };
  }

  /** Counts the engines that the short prompts of all VMs need. */
  private countExpress({ fleetSize }: PromptRequest, engines: number): number {
    const needed = (this.shortDemand.tokensPerMs * fleetSize) / this.rate.tokensPerMs;
    const wanted = Math.ceil(needed * EXPRESS_RESERVE);
    return Math.min(Math.floor(engines * EXPRESS_MAX_SHARE), Math.max(1, wanted));
  }

  private isLong(request: PromptRequest, { readTokens }: PromptChoice): boolean {
    return readTokens / this.rate.tokensPerMs > request.shortestObjectiveMs * LONG_READ_SHARE;
  }

  private weigh(
    request: PromptRequest,
    upstream: TrackedUpstream,
    { readTokens, fetchMs }: MissingParts,
  ): PromptChoice & { readonly queueMs: number } {
    const { tokensPerMs } = this.rate;
    const queueMs =
      upstream.estimateLoad() * LOAD_COST_MS +
      (upstream.estimatePendingTokens() + countOverflow(request, upstream)) / tokensPerMs;
    const firstTokenMs = queueMs + fetchMs + readTokens / tokensPerMs;
    const choice = { upstream, readTokens, firstTokenMs, queueMs };
    return { ...choice, isOutdated: isOutdated(request, upstream) };
  }

  private computeMissing(
    { prompt, bytesPerToken }: PromptRequest,
    upstream: TrackedUpstream,
    { isHome, parts }: { readonly isHome: boolean; readonly parts: readonly KeyedPart[] },
  ): MissingParts {
    const { availabilityZone } = upstream.registered;
    let readTokens = prompt.inputTokens;
    let fetchMs = 0;
    parts.forEach(({ key, tokens, store }) => {
      // A stored part has been read before, most likely at the engine that all VMs agree on.
      const isThere = this.sent.has(key, upstream.upstreamId) || (store !== undefined && isHome);
      if (isThere || store) readTokens -= tokens;
      if (store && !isThere) {
        fetchMs += computeFetchTime(store, { tokens, bytesPerToken }, availabilityZone);
      }
    });
    return { readTokens: Math.max(0, readTokens), fetchMs };
  }
}
