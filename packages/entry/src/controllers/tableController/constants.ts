/** Longest wait of one read for new records, in milliseconds; it bounds how stale a healthy view is. */
export const TABLE_POLL_WAIT_MS = 1_000;

/** Shortest delay after a failed read, in milliseconds. */
export const TABLE_BACKOFF_INITIAL_MS = 100;

/** Longest delay after a failed read, in milliseconds. */
export const TABLE_BACKOFF_MAX_MS = 2_000;

/** Time that the start waits for the first table, in milliseconds. */
export const TABLE_START_TIMEOUT_MS = 5_000;

/** Shortest time between two attempts to write a snapshot, in milliseconds. */
export const SNAPSHOT_RETRY_MS = 30_000;
