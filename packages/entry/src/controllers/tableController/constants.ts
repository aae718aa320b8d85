/** Longest wait of one read for new records, in milliseconds; a healthy view is up to twice as old. */
export const TABLE_POLL_WAIT_MS = 1_000;

/** Shortest delay after a failed read, in milliseconds. */
export const TABLE_BACKOFF_INITIAL_MS = 100;

/** Longest delay after a failed read, in milliseconds. */
export const TABLE_BACKOFF_MAX_MS = 2_000;

/** Time that the start waits for the first table, in milliseconds. */
export const TABLE_START_TIMEOUT_MS = 5_000;

/** Shortest time between two attempts to write a snapshot, in milliseconds. */
export const SNAPSHOT_RETRY_MS = 30_000;

/** Peers that a VM tells of a new offset; each of them tells as many. */
export const HINT_FANOUT = 8;

/** Time between two questions to peers while the log is not read, in milliseconds. */
export const PEER_ASK_INTERVAL_MS = 500;

/** Peers asked at once for their tables. */
export const PEER_ASK_COUNT = 3;

/** Age from which on peers are asked for a newer table, in milliseconds. */
export const PEER_ASK_AGE_MS = 2_500;

/** Time given to a peer's answer, in milliseconds. */
export const PEER_ANSWER_TIMEOUT_MS = 500;
