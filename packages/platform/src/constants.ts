/** Time allowed for an append, in milliseconds. */
export const APPEND_TIMEOUT_MS = 2_000;

/** Time allowed for a read beyond its own wait, in milliseconds. */
export const READ_TIMEOUT_MS = 2_000;

/** Time allowed for a call to the VM list, in milliseconds. */
export const VM_LIST_TIMEOUT_MS = 1_000;

/** Time allowed for a call to the weight store, in milliseconds. */
export const WEIGHT_STORE_TIMEOUT_MS = 30_000;

/** Most records that a read asks for where the caller names no limit. */
export const DEFAULT_READ_LIMIT = 1_000;

/** Retry delay taken where a refusal names none, in milliseconds. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;
