/** Number of least-loaded upstreams considered in addition to holders of the prompt's blocks. */
export const LEAST_LOADED_CANDIDATES = 8;

/** Maximum number of block holders considered per request. */
export const MAX_HOLDER_CANDIDATES = 16;

/** Candidates whose cost is within this margin of the best count as equal, in milliseconds. */
export const NEAR_EQUAL_COST_MARGIN_MS = 20;

/**
 * Candidates whose cost is within this margin of the best count as equal, relative to the best
 * cost.
 */
export const NEAR_EQUAL_COST_MARGIN_FRACTION = 0.05;

/** Time for which an average request holds its slot, in milliseconds. */
export const AVERAGE_SLOT_HOLD_MS = 4000;

/** Fraction of an import's duration charged as cost for using a shared link. */
export const LINK_COST_FRACTION = 0.25;

/** Prefill rate assumed for an upstream that has not reported one, in tokens per second. */
export const DEFAULT_PREFILL_TOKENS_PER_SECOND = 1000;

/** Width of the first queue-time bucket, in milliseconds; each further bucket is twice as wide. */
export const FIRST_QUEUE_TIME_BUCKET_MS = 16;

export const QUEUE_TIME_BUCKET_COUNT = 16;

/** Maximum age of the load figures of an eligible upstream, in milliseconds. */
export const MAX_LOAD_AGE_MS = 3_000;
