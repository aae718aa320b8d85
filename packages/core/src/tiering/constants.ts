/** Idle time buckets per octave in the reuse model. */
export const IDLE_TIME_BUCKETS_PER_OCTAVE = 2;

/** Longest idle time tracked by the reuse model, in octaves above one second. */
export const MAX_IDLE_OCTAVES = 20;

/** Weight of a bucket's prior, as a number of observations. */
export const REUSE_PRIOR_OBSERVATIONS = 4;

/** Prior probability that an idle prompt is reused within one bucket. */
export const PRIOR_REUSE_PROBABILITY = 0.1;

/** Period over which reuse is predicted, in milliseconds. */
export const REUSE_HORIZON_MS = 24 * 3_600_000;

/** Prompts whose last access is tracked. */
export const MAX_TRACKED_PROMPTS = 100_000;

/** Stored blocks sampled to select one to evict. */
export const EVICTION_SAMPLE_COUNT = 64;

export const MAX_EXPORT_QUEUE_SIZE = 4096;

/** Queued blocks considered when the next export is selected. */
export const EXPORT_SCAN_LIMIT = 256;

/** Fraction of a link's rate available to exports while imports are running. */
export const EXPORT_LINK_FRACTION = 0.25;

export const MAX_CONCURRENT_EXPORTS_PER_LINK = 2;

/** Maximum export budget a link accumulates, in seconds at the export share of its rate. */
export const MAX_EXPORT_BURST_S = 2;

/** Weight of one finished transfer in the moving average of a link's rate. */
export const LINK_RATE_EWMA_WEIGHT = 0.2;

/** Consecutive failures after which a store VM is not used for a while. */
export const MAX_CONSECUTIVE_FAILURES = 3;

/** Time for which a failing store VM is not used, in milliseconds. */
export const STORE_RETRY_DELAY_MS = 10_000;

/** Minimum probability of reuse within the horizon for a block to be exported. */
export const MIN_EXPORT_REUSE_PROBABILITY = 0.02;

/** Timeout for reading a block, in milliseconds. */
export const BLOCK_READ_TIMEOUT_MS = 30_000;

/** Time from tombstone to deletion, in milliseconds; must exceed `BLOCK_READ_TIMEOUT_MS`. */
export const TOMBSTONE_GRACE_MS = 45_000;

/** Overhead of an import on top of the transfer itself, in milliseconds. */
export const IMPORT_OVERHEAD_MS = 10;

/** Value of a second copy of a block, relative to its only copy. */
export const SECOND_COPY_VALUE_FACTOR = 0.3;

/** Maximum copies of a block across all store VMs. */
export const BLOCK_REPLICAS = 2;

/** Observations after which the cached forecasts of a workload are recomputed. */
export const FORECAST_REFRESH_OBSERVATIONS = 64;

/** Earlier accesses whose idle time is recorded on each new access. */
export const IDLE_CHECKS_PER_ACCESS = 16;
