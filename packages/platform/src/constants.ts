/** Timeout of an append, in milliseconds. */
export const APPEND_TIMEOUT_MS = 2_000;

/** Timeout of a read in addition to its long-poll wait, in milliseconds. */
export const READ_TIMEOUT_MS = 2_000;

/** Timeout of a VM list request, in milliseconds. */
export const VM_LIST_TIMEOUT_MS = 1_000;

/** Timeout of a weight store request, in milliseconds. */
export const WEIGHT_STORE_TIMEOUT_MS = 30_000;

/** Maximum size of the response to an append, in bytes. */
export const MAX_RECEIPT_BYTES = 64 * 1024;

/** Maximum size of a page of the log, in bytes. */
export const MAX_PAGE_BYTES = 16 * 1024 * 1024;

/** Maximum size of the VM list, in bytes. */
export const MAX_VM_LIST_BYTES = 8 * 1024 * 1024;

/** Maximum size of a response of the weight store, of which only the status is used, in bytes. */
export const MAX_UNUSED_BYTES = 64 * 1024;

/** Default limit on the records returned by a read. */
export const DEFAULT_READ_LIMIT = 1_000;

/** Retry delay for a refusal without a `Retry-After` header, in milliseconds. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;
