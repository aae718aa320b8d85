/** Buckets of idle time an octave has in the return model. */
export const BUCKETS_PER_OCTAVE = 2;

/** Idle times tracked by the return model, in octaves above one second. */
export const TRACKED_OCTAVES = 20;

/** Observations that the prior of a bucket counts for. */
export const PRIOR_VISITS = 4;

/** Share of visits that return within one bucket before anything is learned. */
export const PRIOR_RETURN_SHARE = 0.1;

/** Horizon over which a return counts, in milliseconds. */
export const RETURN_HORIZON_MS = 24 * 3_600_000;

/** Chains whose last visit is remembered. */
export const MAX_TRACKED_CHAINS = 100_000;

/** Stored blocks looked at to find one to drop. */
export const DROP_SAMPLES = 64;

/** Most blocks waiting for export. */
export const MAX_EXPORT_QUEUE = 4096;

/** Waiting exports weighed for the next one. */
export const EXPORT_SCAN = 256;

/** Share of a link that exports may use while prompts import over it. */
export const EXPORT_LINK_SHARE = 0.25;

/** Exports at once on an idle link. */
export const MAX_EXPORTS_PER_LINK = 2;

/** Most bytes of export budget that a link saves up, in seconds of its export share. */
export const EXPORT_BURST_S = 2;

/** Weight of one finished transfer in a link's learned rate. */
export const LINK_LEARN_RATE = 0.2;

/** Failures in a row after which a store VM is left alone. */
export const STORE_FAILURE_LIMIT = 3;

/** Time for which a failing store VM is left alone, in milliseconds. */
export const STORE_RETRY_MS = 10_000;

/** Least value of an export, as the probability of a return within the horizon. */
export const MIN_EXPORT_RETURN = 0.02;

/** Longest read of a block; a reader gives up after it, in milliseconds. */
export const MAX_BLOCK_READ_MS = 30_000;

/** Time from tombstone to deletion; longer than the longest read, in milliseconds. */
export const TOMBSTONE_GRACE_MS = 45_000;

/** Time of an import beside the transfer itself, in milliseconds. */
export const IMPORT_OVERHEAD_MS = 10;

/** Value of a second copy, relative to the only copy of a block. */
export const SECOND_COPY_VALUE = 0.3;

/** Copies of a block over all store VMs. */
export const BLOCK_COPIES = 2;

/** Visits learned after which the prospects are computed anew. */
export const REFRESH_VISITS = 64;

/** Earlier visits whose idle time is counted with each new one. */
export const IDLE_CHECKS_PER_VISIT = 16;
