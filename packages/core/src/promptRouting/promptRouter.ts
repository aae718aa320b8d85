import type { UpstreamId, WeightNumber } from '../ids.js';
import { rankByRendezvous } from '../membership/rendezvous.js';
import type { TrackedUpstream } from '../fleet/index.js';
import {
  FETCH_COST_SHARE,
  LOAD_COST_MS,
  OLD_WEIGHTS_COST_MS,
  OLD_WEIGHTS_GRACE_MS,
  PREFILL_TOKENS_PER_MS,
} from './constants.js';
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

/**
 * Chooses the engine where a prompt's first token comes soonest. Requests of one session agree on
 * an engine by rendezvous without a message; a loaded engine gives way to others once its queue
 * costs more than fetching or reading the shared parts elsewhere.
 *
 * Load patterns: many sessions that return after gaps, and one session that gets much of the
 * traffic.
 */
export class PromptRouter {
  constructor(private readonly sent: SentParts) {}

  choose(
    request: PromptRequest,
    candidates: readonly TrackedUpstream[],
  ): TrackedUpstream | undefined {
    const session = findSessionPart(request.prompt);
    const ids = candidates.map(({ upstreamId }) => upstreamId);
    const home = session ? rankByRendezvous(session.id, ids)[0] : undefined;
    let best: TrackedUpstream | undefined;
    let bestMs = Infinity;
    for (const candidate of candidates) {
      const costMs = this.estimateMs(request, candidate, home);
      if (costMs < bestMs) {
        best = candidate;
        bestMs = costMs;
      }
    }
    return best;
  }

  private estimateMs(
    request: PromptRequest,
    candidate: TrackedUpstream,
    home: UpstreamId | undefined,
  ): number {
    const held = candidate.findWeights(request.prompt.model);
    const isOld = request.wanted !== undefined && held !== undefined && held < request.wanted;
    const oldMs = isOld && request.wantedForMs > OLD_WEIGHTS_GRACE_MS ? OLD_WEIGHTS_COST_MS : 0;
    const queueMs =
      candidate.estimateLoad() * LOAD_COST_MS + candidate.pendingTokens / PREFILL_TOKENS_PER_MS;
    return oldMs + queueMs + this.estimateReadMs(request, candidate, home, held);
  }

  /** Time for the shared parts that the engine does not have. */
  private estimateReadMs(
    request: PromptRequest,
    candidate: TrackedUpstream,
    home: UpstreamId | undefined,
    held: WeightNumber | undefined,
  ): number {
    let readMs = 0;
    for (const part of listSharedParts(request.prompt)) {
      const key = request.buildKey(part.id, held);
      const isThere =
        candidate.upstreamId === home || this.sent.has(key, candidate.upstreamId);
      const share = request.isStored(key) ? FETCH_COST_SHARE : 1;
      if (!isThere) readMs += (part.tokens / PREFILL_TOKENS_PER_MS) * share;
    }
    return readMs;
  }
}
