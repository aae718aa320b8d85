/** Time that an edit may take until it is read back, in milliseconds. */
export const DEFAULT_EDIT_TIMEOUT_MS = 10_000;

/** Longest wait for an answer of an entry VM, in milliseconds. */
export const ENTRY_TIMEOUT_MS = 5_000;

/** Longest wait of one read while the table is watched, in milliseconds. */
export const WATCH_WAIT_MS = 5_000;

/** Delay before the log is read again after a failure, in milliseconds. */
export const WATCH_RETRY_MS = 1_000;

/** Random bytes of an API key. */
export const API_KEY_BYTES = 32;

/** Most keys that an account may have at once. */
export const MAX_ACCOUNT_KEYS = 8;
