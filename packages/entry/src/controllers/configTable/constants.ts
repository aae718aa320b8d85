/**
 * Maximum long-poll wait of a read for new records, in milliseconds. The age of the table reaches
 * up to twice this value in normal operation.
 */
export const TABLE_LONG_POLL_MS = 1_000;

/** Initial delay after a failed read, in milliseconds. */
export const TABLE_READ_BACKOFF_INITIAL_MS = 100;

/** Maximum delay after a failed read, in milliseconds. */
export const TABLE_READ_BACKOFF_MAX_MS = 2_000;

/** Maximum time for which the start waits for the first table, in milliseconds. */
export const FIRST_TABLE_TIMEOUT_MS = 5_000;

/** Minimum interval of attempts to write a snapshot, in milliseconds. */
export const SNAPSHOT_RETRY_INTERVAL_MS = 30_000;

/** Number of peers to which a VM gossips a new offset; each of them gossips it on. */
export const OFFSET_GOSSIP_FANOUT = 8;

/**
 * Interval of fetches from peers while the log is unreadable or the table is stale, in
 * milliseconds.
 */
export const TABLE_FETCH_INTERVAL_MS = 500;

/** Number of peers from which the table is fetched in parallel. */
export const TABLE_FETCH_PEER_COUNT = 3;

/** Age of the table above which it is fetched from peers, in milliseconds. */
export const TABLE_FETCH_MIN_TABLE_AGE_MS = 2_500;

export const TABLE_FETCH_TIMEOUT_MS = 500;
