/** Maximum duration of a run, in milliseconds. */
export const MAX_DURATION_MS = 3_600_000;

/** Maximum number of requests of one run. */
export const MAX_REQUESTS = 1_000_000;

/** Upper limit of the `maxInFlight` setting. */
export const MAX_IN_FLIGHT = 10_000;

/** Bytes of prompt text that count as one token. */
export const BYTES_PER_TOKEN = 4;

/** Number of tokens in a prompt block. */
export const BLOCK_TOKENS = 1_024;

/** Maximum line length of a recording, in bytes. */
export const MAX_RECORD_LINE_BYTES = 64 * 1024;

/** Timeout of a request for the entry list or for run counts, in milliseconds. */
export const ENTRIES_TIMEOUT_MS = 2_000;

/** Connect timeout, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Delay before a retry after a broken connection or a truncated response, in milliseconds. */
export const DEFAULT_RETRY_DELAY_MS = 200;

/** Maximum body size of a non-streamed response, an error or a saved report, in bytes. */
export const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
