/** Longest run, in milliseconds. */
export const MAX_DURATION_MS = 3_600_000;

/** Most requests of one run. */
export const MAX_REQUESTS = 1_000_000;

/** Most requests that may be under way at once. */
export const MAX_IN_FLIGHT = 10_000;

/** Bytes of prompt text that count as one token. */
export const BYTES_PER_TOKEN = 4;

/** Tokens of one prompt block. */
export const BLOCK_TOKENS = 1_024;

/** Longest line of a recording, in bytes. */
export const MAX_RECORD_LINE_BYTES = 64 * 1024;

/** Longest wait for an answer of `/v1/entries`, in milliseconds. */
export const ENTRIES_TIMEOUT_MS = 2_000;

/** Longest wait for a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Delay before the next attempt where nobody named one, in milliseconds. */
export const DEFAULT_RETRY_MS = 200;

/** Largest body of a non-streamed answer or error, in bytes. */
export const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
