import { createRefusal } from '@goldcrestscale/core';
import type { GoldcrestErrorInstance, UpstreamId, UpstreamView } from '@goldcrestscale/core';
import { DEFAULT_RETRY_AFTER_MS } from '../constants.js';
import type { Exchange } from '../filters/exchange.js';
import type { TokenUsage } from '../upstream/completionPayload.js';
import type { AttemptOutcome } from './attemptOutcome.js';

/** The upstreams that the dispatch filter selects from. */
export interface UpstreamDirectory {
  listEngines(model: string): readonly UpstreamView[];
  listServices(service: string): readonly UpstreamView[];
  findView(upstreamId: UpstreamId): UpstreamView | undefined;
  recordDispatch(upstreamId: UpstreamId, promptTokens: number): void;
  recordOutcome(upstreamId: UpstreamId, outcome: AttemptOutcome): void;
}

/** Observes attempts, for metrics and the prefix index. */
export interface DispatchObserver {
  onFirstByte(exchange: Exchange, upstream: UpstreamView): void;
  onUsage(
    exchange: Exchange,
    upstream: UpstreamView,
    usage: TokenUsage,
    expectedCachedTokens: number,
  ): void;
  onFailure(exchange: Exchange, upstream: UpstreamView, error: GoldcrestErrorInstance): void;
}

/** Lists the upstreams that serve the target of an exchange. */
export const listUpstreams = (
  directory: UpstreamDirectory,
  { target }: Exchange,
): readonly UpstreamView[] =>
  target.kind === 'completion'
    ? directory.listEngines(target.model)
    : directory.listServices(target.service);

/** Creates the refusal of a request for which no upstream is available. */
export const createNoUpstreamRefusal = (): GoldcrestErrorInstance =>
  createRefusal('No upstream can take the request now.', {
    code: 'no_upstream',
    status: 503,
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
  });
