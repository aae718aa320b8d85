export const BLOCK_TOKENS = 1024;

/** Bytes of prompt text estimated per token. */
export const BYTES_PER_TOKEN = 4;

/** Bytes of prompt text in one block. */
export const BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN;

/** Bytes of a key that identify the client account. */
export const ACCOUNT_TAG_BYTES = 4;

/** Bytes of a key that identify the group of blocks, by which the index is partitioned. */
export const GROUP_TAG_BYTES = 4;

/** Bytes of a key that identify the block. */
export const BLOCK_DIGEST_BYTES = 16;

/** Consecutive blocks of a prompt that share a group tag and therefore the same owners. */
export const BLOCKS_PER_GROUP = 16;

export const ACCOUNT_SECRET_BYTES = 32;

/** Default for the maximum number of locations in an index. */
export const DEFAULT_MAX_LOCATIONS = 1_000_000;

export const INITIAL_LOCATION_TABLE_SLOTS = 1024;

/** Ratio of occupied slots, removed ones included, above which a location table is rebuilt. */
export const MAX_TABLE_LOAD_FACTOR = 0.75;

/** Fraction of the locations evicted by one pruning. */
export const PRUNED_LOCATIONS_FRACTION = 1 / 16;

/** Slots sampled to estimate the age cutoff of a pruning. */
export const PRUNE_SAMPLE_SLOTS = 2048;

/** Factor applied to a holder's accuracy for each event gap that a retry did not fill. */
export const GAP_ACCURACY_FACTOR = 0.7;

/** Weight of one usage report in the moving average of a holder's accuracy. */
export const ACCURACY_EWMA_WEIGHT = 0.1;

/** Lower bound of a holder's accuracy, so that it can recover from usage reports. */
export const MIN_ACCURACY = 0.05;

/** Earlier boots remembered per upstream, to discard their late events. */
export const MAX_EARLIER_BOOTS = 8;

/** Number of VMs in the fleet that keep each index entry. */
export const INDEX_REPLICAS = 3;
