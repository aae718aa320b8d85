import type { UpstreamId, WeightNumber } from '../ids.js';
import { rankByRendezvous } from '../membership/rendezvous.js';
import type { TrackedUpstream } from '../fleet/index.js';
import {
  AWAY_COST_MS,
  FETCH_COST_SHARE,
  LOAD_COST_MS,
  OLD_WEIGHTS_COST_MS,
  OLD_WEIGHTS_GRACE_MS,
} from './constants.js';
import type { PrefillRate } from './prefillRate.js';
import type { Prompt } from './prompt.js';
import { findSessionPart, listSharedParts } from './prompt.js';
import type { SentParts } from './sentParts.js';

/** A prompt that needs an engine. */
export interface PromptRequest {
  readonly prompt: Prompt;
  /** Newest weights named by the operators. */
  readonly wanted: WeightNumber | undefined;
  /** Time since they were named, in milliseconds. */
  readonly wantedForMs: number;
  /** Gives the key under which an engine with these weights caches a part. */
  buildKey(partId: string, held: WeightNumber | undefined): string;
  /** Tells whether a store holds the part under that key. */
  isStored(key: string): boolean;
}

/** An engine for a prompt, and what is expected there. */
export interface PromptChoice {
  readonly upstream: TrackedUpstream;
  /** Tokens that it has to read. */
  readonly readTokens: number;
  /** Time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
}

/** Where the shared parts of a prompt are, seen from one engine. */
interface PartsView {
  readonly readTokens: number;
  readonly fetchTokens: number;
}

/**
 * Chooses the engine where a prompt's first token comes soonest. Requests of one session agree on
 * an engine by rendezvous without a message; a loaded engine gives way to others once its queue
 * costs more than fetching or reading the shared parts elsewhere.
 *
 * Load patterns: many sessions that return after gaps, and one session that gets much of the
 * traffic.
 */
export class PromptRouter {
  constructor(
    private readonly sent: SentParts,
    private readonly rate: PrefillRate,
  ) {}

  choose(
    request: PromptRequest,
    candidates: readonly TrackedUpstream[],
  ): PromptChoice | undefined {
    const session = findSessionPart(request.prompt);
    const ids = candidates.map(({ upstreamId }) => upstreamId);
    const home = session ? rankByRendezvous(session.id, ids)[0] : undefined;
    let best: PromptChoice | undefined;
    let leastMs = Infinity;
    for (const candidate of candidates) {
      const choice = this.weigh(request, candidate, home);
      const awayMs = candidate.upstreamId === home ? 0 : AWAY_COST_MS;
      const costMs = choice.firstTokenMs + awayMs + this.weighOldWeights(request, candidate);
      if (costMs < leastMs) {
        best = choice;
        leastMs = costMs;
      }
    }
    return best;
  }

  private weigh(
    request: PromptRequest,
    upstream: TrackedUpstream,
    home: UpstreamId | undefined,
  ): PromptChoice {
    const { readTokens, fetchTokens } = this.viewParts(request, upstream, home);
    const { tokensPerMs } = this.rate;
    const queueMs =
      upstream.estimateLoad() * LOAD_COST_MS + upstream.estimatePendingTokens() / tokensPerMs;
    const firstTokenMs =
      queueMs + (readTokens + fetchTokens * FETCH_COST_SHARE) / tokensPerMs;
    return { upstream, readTokens, firstTokenMs };
  }

  /** Older weights serve on while few engines have the new ones, but their answers are worth less. */
  private weighOldWeights(request: PromptRequest, upstream: TrackedUpstream): number {
    const held = upstream.findWeights(request.prompt.model);
    const isOld = request.wanted !== undefined && held !== undefined && held < request.wanted;
    return isOld && request.wantedForMs > OLD_WEIGHTS_GRACE_MS ? OLD_WEIGHTS_COST_MS : 0;
  }

  private viewParts(
    request: PromptRequest,
    upstream: TrackedUpstream,
    home: UpstreamId | undefined,
  ): PartsView {
    const { prompt } = request;
    const held = upstream.findWeights(prompt.model);
    let readTokens = prompt.inputTokens;
    let fetchTokens = 0;
    for (const part of listSharedParts(prompt)) {
      const key = request.buildKey(part.id, held);
      const isStored = request.isStored(key);
      // A stored part has been read before, most likely at the engine that all VMs agree on.
      const isThere =
        this.sent.has(key, upstream.upstreamId) || (isStored && upstream.upstreamId === home);
      if (isThere || isStored) readTokens -= part.tokens;
      if (isStored && !isThere) fetchTokens += part.tokens;
    }
    return { readTokens: Math.max(0, readTokens), fetchTokens };
  }
}
