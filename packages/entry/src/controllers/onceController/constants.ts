/** Time between two looks at which shards this VM serves, in milliseconds. */
export const SHARD_REVIEW_INTERVAL_MS = 1_000;

/** Time after which a shard that another VM serves is no longer followed here, in milliseconds. */
export const SHARD_IDLE_MS = 60_000;

/** Time given to another VM that serves a shard before the next one is asked, in milliseconds. */
export const SHARD_PEER_TIMEOUT_MS = 1_000;

/** Header with which a caller names its unrepeatable request. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** Header that marks a repeated answer. */
export const REPLAYED_HEADER = 'idempotency-replayed';

/** Headers of an answer that are repeated. */
export const REPEATED_HEADERS = ['content-type', 'location', 'x-attempt-id'] as const;

/** Longest time that a request waits for its claim or for another attempt's outcome, in milliseconds. */
export const MAX_CLAIM_TIME_MS = 15_000;

/** VMs that follow a shard: the one that serves it and those that stand by. */
export const SHARD_FOLLOWERS = 2;
