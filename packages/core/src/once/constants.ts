/** Age up to which a key may run, in milliseconds. It must stay under the log's retention. */
export const ONCE_WINDOW_MS = 60 * 60 * 1_000;

/** Largest difference between the clocks of callers, VMs and the log, in milliseconds. */
export const CLOCK_ALLOWANCE_MS = 60_000;

/** Longest time from the start of a claim to its use, in milliseconds; far below the retention. */
export const CLAIM_USE_MS = 10_000;

/** Time that a claim whose append answer was lost may take to be read back, in milliseconds. */
export const CLAIM_SETTLE_MS = 500;

/** Time given to one claim, over all VMs that are asked, in milliseconds. */
export const SHARD_REQUEST_TIMEOUT_MS = 4_000;

/** Time given to a claimant to tell the state of its attempt, in milliseconds. */
export const CLAIMANT_TIMEOUT_MS = 1_000;

/** Longest wait for the outcome of another attempt in one request, in milliseconds. */
export const OUTCOME_WAIT_MS = 2_000;

/** Longest wait of one read of a shard's stream, in milliseconds. */
export const SHARD_POLL_WAIT_MS = 1_000;

/** Records in one read of a shard's stream. */
export const SHARD_READ_LIMIT = 5_000;

/** Shortest delay after a failed call, in milliseconds. */
export const ONCE_BACKOFF_INITIAL_MS = 50;

/** Longest delay after a failed call, in milliseconds. */
export const ONCE_BACKOFF_MAX_MS = 1_000;

/** Time for which an outcome or a release is tried again, in milliseconds. */
export const SETTLEMENT_LIFETIME_MS = 10 * 60 * 1_000;

/** Retry delay given to callers while a shard is not served, in milliseconds. */
export const ONCE_RETRY_AFTER_MS = 1_000;

/** Most claims that one request makes, with rivals that release in between. */
export const MAX_CLAIM_ROUNDS = 5;

/** Largest answer body that an outcome record repeats, in bytes. */
export const MAX_STORED_ANSWER_BYTES = 16 * 1_024;

/** Time for which a settled attempt is remembered for late questions, in milliseconds. */
export const SETTLED_ATTEMPT_MEMORY_MS = 60_000;
