/** Timeout of an append, in milliseconds. */
export const APPEND_TIMEOUT_MS = 2_000;

/** Timeout of a read in addition to its long-poll wait, in milliseconds. */
export const READ_TIMEOUT_MS = 2_000;

/** Timeout of a VM list request, in milliseconds. */
export const VM_LIST_TIMEOUT_MS = 1_000;

/** Timeout of a weight store request, in milliseconds. */
export const WEIGHT_STORE_TIMEOUT_MS = 30_000;

/** Default limit on the records returned by a read. */
export const DEFAULT_READ_LIMIT = 1_000;

/** Retry delay for a refusal without a `Retry-After` header, in milliseconds. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;
