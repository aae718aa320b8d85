/** Bytes of prompt text that count as one token. */
export const BYTES_PER_TOKEN = 4;

/** Default maximum number of answer tokens. */
export const DEFAULT_MAX_TOKENS = 16;

/** Default priority of a request. */
export const DEFAULT_PRIORITY = 5;

/** Time for which a disconnected attempt can be resumed, in milliseconds. */
export const RESUME_WINDOW_MS = 10_000;

/** Time after which an uncommitted import is discarded, in milliseconds. */
export const STAGED_IMPORT_TTL_MS = 30_000;

/** Minimum pause between two writes of one response, in milliseconds. */
export const MIN_DECODE_STEP_MS = 4;
