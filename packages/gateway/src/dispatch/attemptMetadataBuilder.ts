import { buildBlockKey, listSharedParts } from '@goldcrestscale/core';
import type { BlockDirectory, FetchWindow } from '@goldcrestscale/core';
import { FETCH_WAIT_OBJECTIVE_FRACTION, MAX_FETCH_PREFILL_RATIO } from '../constants.js';
import type { GatewayExchange } from '../filters/gatewayExchange.js';
import { requireRoute } from '../filters/gatewayExchange.js';
import type { AttemptMetadata, BlockTransfers } from '../ports/index.js';
import type { RequestProgress } from './requestProgress.js';
import { buildSalt, findExpectedWeights } from './cacheIdentity.js';
import type { UpstreamChoice, UpstreamChooser } from './upstreamChooser.js';

/** Dependencies of the builder. */
export interface AttemptMetadataBuilderOptions {
  readonly chooser: UpstreamChooser;
  readonly blocks: BlockDirectory;
  readonly fetchWindow: FetchWindow;
}

/** A fetch is planned only if it may take at least this share of the time that recomputation takes. */
const MIN_FETCH_PREFILL_RATIO = 0.5;

/** Urgency (0 to 9, lower is served first) by request priority; the upstream's own default is 5. */
const URGENCY_BY_PRIORITY = [2, 4, 5, 6, 7] as const;

/** Builds the metadata that the gateway adds to a request for an upstream. */
export class AttemptMetadataBuilder {
  constructor(private readonly options: AttemptMetadataBuilderOptions) {}

  build(
    exchange: GatewayExchange,
    choice: UpstreamChoice,
    progress: RequestProgress,
  ): AttemptMetadata {
    const { prompt, lastEventId } = exchange.head;
    const weights = findExpectedWeights(exchange, choice.upstream);
    const priority = exchange.account?.priority ?? requireRoute(exchange).priority;
    const emittedEventId = progress.eventSplitter?.lastEventId;
    return {
      upstreamId: choice.upstream.upstreamId,
      remainingMs: Math.max(1, Math.round(exchange.deadlineAtMs - performance.now())),
      urgency: prompt
        ? URGENCY_BY_PRIORITY[Math.min(priority, URGENCY_BY_PRIORITY.length - 1)]
        : undefined,
      cacheSalt: prompt ? buildSalt(exchange, weights) : undefined,
      weights,
      transfers: this.planTransfers(exchange, choice),
      lastEventId: emittedEventId === undefined ? lastEventId : String(emittedEventId),
    };
  }

  private planTransfers(
    exchange: GatewayExchange,
    { upstream, firstTokenMs }: UpstreamChoice,
  ): BlockTransfers | undefined {
    const { prompt } = exchange.head;
    const { blocks, fetchWindow, chooser } = this.options;
    const weights = findExpectedWeights(exchange, upstream);
    if (!prompt || weights === undefined || blocks.listStores().length === 0) return undefined;
    const salt = buildSalt(exchange, weights);
    const zone = upstream.registered.availabilityZone;
    const sharedParts = new Set(listSharedParts(prompt));
    const fetchAddresses: (string | undefined)[] = [];
    const saveAddresses: (string | undefined)[] = [];
    let fetchTokens = 0;
    prompt.parts.forEach((part) => {
      const key = buildBlockKey(salt, part.id);
      const isShared = sharedParts.has(part);
      const source = isShared ? blocks.findFetchSource(key, part.tokens) : undefined;
      if (source !== undefined) fetchTokens += part.tokens;
      fetchAddresses.push(source?.address);
      saveAddresses.push(isShared ? blocks.reserveSaveTarget(key, part.tokens, zone) : undefined);
    });
    const prefillMs = fetchTokens / chooser.prefillRate.tokensPerMs;
    const sources = [...new Set(fetchAddresses)].filter((address) => address !== undefined);
    const safeFetchMs = Math.min(
      fetchWindow.computeMaxFetchMs(prompt.model, weights),
      ...sources.map((address) => blocks.computeMaxFetchMs(address)),
    );
    const slackMs = requireRoute(exchange).objectiveMs * FETCH_WAIT_OBJECTIVE_FRACTION;
    const maxWaitMs = firstTokenMs + prefillMs * MAX_FETCH_PREFILL_RATIO + slackMs;
    const fetchMs = Math.min(safeFetchMs, maxWaitMs);
    const fetchDeadlineMs = blocks.computeServerTimeMs(fetchMs);
    // Without a deadline on the servers' clock, a block could be freed or written while it is fetched.
    const canFetch =
      fetchDeadlineMs !== undefined && fetchMs >= prefillMs * MIN_FETCH_PREFILL_RATIO;
    return {
      fetchAddresses: canFetch ? fetchAddresses : [],
      saveAddresses,
      fetchDeadlineMs,
      proofs: new Map(canFetch ? sources.map((one) => [one, blocks.findProof(one)]) : []),
    };
  }
}
