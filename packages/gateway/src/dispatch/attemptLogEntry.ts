import type { AttemptLogEntry, GatewayExchange } from '../filters/gatewayExchange.js';
import type { AttemptResult } from './attemptResult.js';
import { findExpectedWeights } from './cacheIdentity.js';
import type { UpstreamChoice } from './upstreamChooser.js';

/** Describes how an attempt ended. */
export const describeResult = (result: AttemptResult): string => {
  if (result.kind === 'failed') return `status ${result.head.status}`;
  return 'reason' in result ? `${result.kind}: ${result.reason}` : result.kind;
};

/** Creates the log record of an attempt that is about to be sent. */
export const createAttemptLogEntry = (
  exchange: GatewayExchange,
  { upstream, prefillTokens, firstTokenMs }: UpstreamChoice,
): AttemptLogEntry => ({
  upstreamId: upstream.upstreamId,
  version: upstream.registered.softwareVersion,
  weights: findExpectedWeights(exchange, upstream),
  load: upstream.estimateLoad(),
  pendingTokens: Math.round(upstream.estimatePendingTokens()),
  readTokens: prefillTokens,
  expectedMs: Math.round(firstTokenMs),
  slowdown: Math.round(upstream.slowdown * 100) / 100,
  startedAtMs: Math.round(performance.now() - exchange.receivedAtMs),
  outcome: 'open',
});
