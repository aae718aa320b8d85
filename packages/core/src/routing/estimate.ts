import { DEFAULT_PREFILL_TOKENS_PER_SECOND, SLOT_TURNOVER_MS } from './constants.js';
import type { UpstreamView } from './router.js';

const MS_PER_S = 1000;

/** Gives the prefill rate of an upstream, in tokens a millisecond. */
export const getPrefillRate = (view: UpstreamView): number =>
  (view.prefillTokensPerSecond || DEFAULT_PREFILL_TOKENS_PER_SECOND) / MS_PER_S;

/** Counts the requests at an upstream: reported ones and own dispatches since. */
export const countInFlight = (view: UpstreamView): number =>
  view.running + view.waiting + view.dispatchedSince;

/** Tells whether an upstream bears one more request; limits only a cold one. */
export const hasColdSlot = (view: UpstreamView): boolean =>
  !view.cold || countInFlight(view) < view.coldConcurrent;

/**
 * Estimates how long a new request waits before its prefill begins. The reported backlog is
 * taken to have drained since, and the own dispatches since then are added.
 */
export const estimateQueueMs = (view: UpstreamView): number => {
  const rate = getPrefillRate(view);
  const reported = Math.max(0, view.waitingPromptTokens - view.ageMs * rate);
  const backlogMs = (reported + view.dispatchedTokensSince) / rate;
  const excess = Math.max(0, countInFlight(view) + 1 - view.maxConcurrent);
  return backlogMs + (excess * SLOT_TURNOVER_MS) / Math.max(1, view.maxConcurrent);
};
