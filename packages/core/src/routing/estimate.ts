import { DEFAULT_PREFILL_TOKENS_PER_SECOND, AVERAGE_SLOT_HOLD_MS } from './constants.js';
import type { UpstreamView } from './router.js';

const MS_PER_SECOND = 1000;

/** Returns the prefill rate of an upstream, in tokens per millisecond. */
export const getPrefillTokensPerMs = (view: UpstreamView): number =>
  (view.prefillTokensPerSecond || DEFAULT_PREFILL_TOKENS_PER_SECOND) / MS_PER_SECOND;

/** Counts the requests at an upstream: those it reported and those this VM has dispatched since. */
export const countInFlight = (view: UpstreamView): number =>
  view.running + view.waiting + view.dispatchedSince;

/** Returns whether an upstream can take one more request; only cold upstreams are limited. */
export const hasColdSlot = (view: UpstreamView): boolean =>
  !view.cold || countInFlight(view) < view.coldConcurrent;

/**
 * Estimates how long a new request waits before its prefill begins. Assumes that the reported
 * backlog has drained at the prefill rate since the report, and adds this VM's later dispatches.
 */
export const estimateQueueMs = (view: UpstreamView): number => {
  const prefillTokensPerMs = getPrefillTokensPerMs(view);
  const reportedBacklogTokens = Math.max(
    0,
    view.waitingPromptTokens - view.ageMs * prefillTokensPerMs,
  );
  const backlogMs = (reportedBacklogTokens + view.dispatchedTokensSince) / prefillTokensPerMs;
  const excessRequests = Math.max(0, countInFlight(view) + 1 - view.maxConcurrent);
  return backlogMs + (excessRequests * AVERAGE_SLOT_HOLD_MS) / Math.max(1, view.maxConcurrent);
};
