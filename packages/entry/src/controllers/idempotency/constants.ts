/** Interval at which the shards assigned to this VM are updated, in milliseconds. */
export const SHARD_ASSIGNMENT_INTERVAL_MS = 1_000;

/**
 * Time without use after which the local server of a shard of another VM is stopped, in
 * milliseconds.
 */
export const SHARD_IDLE_TIMEOUT_MS = 60_000;

/**
 * Timeout of a request to a VM that serves a shard, before the next VM is tried, in milliseconds.
 */
export const SHARD_REQUEST_TIMEOUT_MS = 1_000;

/** Request header with the idempotency key of a non-idempotent request. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** Response header that marks a replayed response. */
export const IDEMPOTENCY_REPLAYED_HEADER = 'idempotency-replayed';

/** Response headers that are stored and replayed. */
export const REPLAYED_RESPONSE_HEADERS = ['content-type', 'location', 'x-attempt-id'] as const;

/**
 * Maximum wait of a request for its claim, or for the outcome of another attempt, in milliseconds.
 */
export const CLAIM_TIMEOUT_MS = 15_000;

/** Number of VMs that run a shard: the one that serves it, and standbys. */
export const SHARD_REPLICA_COUNT = 2;
