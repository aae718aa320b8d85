/** Least-loaded upstreams weighed beside the holders of a prompt's blocks. */
export const LEAST_LOADED_CANDIDATES = 8;

/** Most holders of blocks that are weighed. */
export const MAX_HOLDER_CANDIDATES = 16;

/** Estimates this close to the best count as equal, in milliseconds. */
export const NEAR_EQUAL_MS = 20;

/** Estimates this close to the best count as equal, as a share of it. */
export const NEAR_EQUAL_SHARE = 0.05;

/** Time for which a request of average length keeps its slot, in milliseconds. */
export const SLOT_TURNOVER_MS = 4000;

/** Part of an import's time that counts as cost to the other users of the link. */
export const LINK_COST_SHARE = 0.25;

/** Prefill rate assumed for an upstream that has not reported one, in tokens a second. */
export const DEFAULT_PREFILL_TOKENS_PER_SECOND = 1000;

/** Width of the first bucket of the load order, in milliseconds; each next one doubles. */
export const LOAD_BUCKET_MS = 16;

/** Buckets of the load order. */
export const LOAD_BUCKETS = 16;

/** Age above which load figures no longer make an upstream eligible, in milliseconds. */
export const MAX_LOAD_AGE_MS = 3_000;
