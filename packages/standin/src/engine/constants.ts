/** Bytes of prompt text that count as one token. */
export const BYTES_PER_TOKEN = 4;

/** Length of an answer where the request names none. */
export const DEFAULT_MAX_TOKENS = 16;

/** Priority of a request that names none. */
export const DEFAULT_PRIORITY = 5;

/** Time for which an answer with a broken connection can be resumed. */
export const RESUME_WINDOW_MS = 10_000;

/** Time after which an import that was not committed is dropped. */
export const STAGE_LIFETIME_MS = 30_000;

/** Shortest pause between two writes of one answer. */
export const MIN_DECODE_STEP_MS = 4;
