import { buildBlockKey, listSharedParts } from '@goldcrestscale/core';
import type { BlockDirectory, FetchHorizon } from '@goldcrestscale/core';
import { FETCH_OBJECTIVE_SHARE, FETCH_PATIENCE } from '../constants.js';
import type { GatewayExchange } from '../filters/exchange.js';
import { requireRoute } from '../filters/exchange.js';
import type { AttemptFacts, BlockTransfers } from '../ports/index.js';
import type { Progress } from './progress.js';
import { buildSalt, findWeights } from './cacheIdentity.js';
import type { UpstreamChoice, UpstreamChooser } from './upstreamChooser.js';

/** What the builder reads. */
export interface AttemptFactsOptions {
  readonly chooser: UpstreamChooser;
  readonly blocks: BlockDirectory;
  readonly horizon: FetchHorizon;
}

/** Share of the time for a read that a fetch must have at least. */
const MIN_FETCH_SHARE = 0.5;

/** Ranks by priority; 0 to 9, where the upstream's own default is 5. */
const URGENCIES = [2, 4, 5, 6, 7] as const;

/** Builds what the system adds to a request on its way to an upstream. */
export class AttemptFactsBuilder {
  constructor(private readonly options: AttemptFactsOptions) {}

  build(exchange: GatewayExchange, choice: UpstreamChoice, progress: Progress): AttemptFacts {
    const { prompt, lastEventId } = exchange.head;
    const weights = findWeights(exchange, choice.upstream);
    const rank = exchange.account?.priority ?? requireRoute(exchange).priority;
    const resumeFrom = progress.events?.lastId;
    return {
      upstreamId: choice.upstream.upstreamId,
      remainingMs: Math.max(1, Math.round(exchange.deadlineAtMs - performance.now())),
      urgency: prompt ? URGENCIES[Math.min(rank, URGENCIES.length - 1)] : undefined,
      cacheSalt: prompt ? buildSalt(exchange, weights) : undefined,
      weights,
      transfers: this.planTransfers(exchange, choice),
      lastEventId: resumeFrom === undefined ? lastEventId : String(resumeFrom),
    };
  }

  private planTransfers(
    exchange: GatewayExchange,
    { upstream, firstTokenMs }: UpstreamChoice,
  ): BlockTransfers | undefined {
    const { prompt } = exchange.head;
    const { blocks, horizon, chooser } = this.options;
    const weights = findWeights(exchange, upstream);
    if (!prompt || weights === undefined || blocks.listStores().length === 0) return undefined;
    const salt = buildSalt(exchange, weights);
    const zone = upstream.registered.availabilityZone;
    const shared = new Set(listSharedParts(prompt));
    const fetchFrom: (string | undefined)[] = [];
    const saveTo: (string | undefined)[] = [];
    let fetchTokens = 0;
    prompt.parts.forEach((part) => {
      const key = buildBlockKey(salt, part.id);
      const isShared = shared.has(part);
      const source = isShared ? blocks.findStore(key, part.tokens) : undefined;
      if (source !== undefined) fetchTokens += part.tokens;
      fetchFrom.push(source?.address);
      saveTo.push(isShared ? blocks.takeSaveTarget(key, part.tokens, zone) : undefined);
    });
    const readMs = fetchTokens / chooser.rate.tokensPerMs;
    const allowedMs = horizon.computeFetchMs(prompt.model, weights);
    const slackMs = requireRoute(exchange).objectiveMs * FETCH_OBJECTIVE_SHARE;
    const patienceMs = firstTokenMs + readMs * FETCH_PATIENCE + slackMs;
    const fetchMs = Math.min(allowedMs, patienceMs);
    const fetchUntilMs = blocks.computeServerTime(fetchMs);
    // Without a limit by the servers' clock, a block could be freed while it is fetched.
    const canFetch = fetchUntilMs !== undefined && fetchMs >= readMs * MIN_FETCH_SHARE;
    return { fetchFrom: canFetch ? fetchFrom : [], saveTo, fetchUntilMs };
  }
}
