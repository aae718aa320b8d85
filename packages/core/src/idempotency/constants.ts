/**
 * Maximum age of an idempotency key that may still be executed, in milliseconds. Must be shorter
 * than the log's retention.
 */
export const IDEMPOTENCY_WINDOW_MS = 60 * 60 * 1_000;

/** Maximum clock skew between callers, VMs and the log, in milliseconds. */
export const MAX_CLOCK_SKEW_MS = 60_000;

/**
 * Maximum time from the start of a claim to the start of its execution, in milliseconds; far
 * shorter than the log's retention.
 */
export const CLAIM_VALIDITY_MS = 10_000;

/** Read-back timeout of a claim whose append response was lost, in milliseconds. */
export const UNCONFIRMED_CLAIM_READ_BACK_MS = 500;

/** Timeout of one claim request across all VMs that are tried, in milliseconds. */
export const CLAIM_REQUEST_TIMEOUT_MS = 4_000;

/** Timeout for querying a claimant for the status of its attempt, in milliseconds. */
export const ATTEMPT_STATUS_TIMEOUT_MS = 1_000;

/** Maximum wait for the outcome of a competing attempt per claim round, in milliseconds. */
export const OUTCOME_WAIT_MS = 2_000;

/** Long-poll duration of one read of a shard's stream, in milliseconds. */
export const SHARD_LONG_POLL_MS = 1_000;

/** Maximum number of records per read of a shard's stream. */
export const SHARD_READ_LIMIT = 5_000;

/** Initial backoff after a failed call, in milliseconds. */
export const CLAIM_BACKOFF_INITIAL_MS = 50;

/** Maximum backoff after a failed call, in milliseconds. */
export const CLAIM_BACKOFF_MAX_MS = 1_000;

/** Time for which appending an outcome or a release is retried, in milliseconds. */
export const SETTLEMENT_RETRY_LIMIT_MS = 10 * 60 * 1_000;

/** Retry-after delay returned to callers while a shard is unavailable, in milliseconds. */
export const CLAIM_RETRY_AFTER_MS = 1_000;

/** Maximum number of claims per request when competing attempts keep releasing the key. */
export const MAX_CLAIM_ROUNDS = 5;

/** Maximum size of a response body stored in an outcome record, in bytes. */
export const MAX_STORED_RESPONSE_BYTES = 16 * 1_024;

/** Time for which a settled attempt is kept to answer late status queries, in milliseconds. */
export const SETTLED_ATTEMPT_RETENTION_MS = 60_000;
