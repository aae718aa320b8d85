/** Number of consecutive failures that opens a breaker. */
export const CONSECUTIVE_FAILURES_TO_OPEN = 5;

/** Initial open duration, in milliseconds. */
export const INITIAL_OPEN_MS = 2_000;

/** Maximum open duration, in milliseconds. */
export const MAX_OPEN_MS = 30_000;

/** Maximum fraction of a group of upstreams that may be ejected at the same time. */
export const MAX_EJECTED_FRACTION = 0.5;
