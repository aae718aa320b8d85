/** Default time limit for an edit to be read back from the log, in milliseconds. */
export const DEFAULT_EDIT_TIMEOUT_MS = 10_000;

/** Timeout of a request to an entry VM, in milliseconds. */
export const ENTRY_REQUEST_TIMEOUT_MS = 5_000;

/** Long-poll time of one log read in `watch`, in milliseconds. */
export const WATCH_LONG_POLL_MS = 5_000;

/** Delay before `watch` retries a failed log read, in milliseconds. */
export const WATCH_RETRY_DELAY_MS = 1_000;

/** Number of random bytes in an API key. */
export const API_KEY_BYTES = 32;

/** Maximum number of API keys of an account. */
export const MAX_ACCOUNT_KEYS = 8;

/** Maximum size of a response of an entry VM, in bytes. */
export const MAX_ENTRY_RESPONSE_BYTES = 32 * 1024 * 1024;
