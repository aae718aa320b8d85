/** Largest body that a caller may send, in bytes. */
export const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Time between two reads of an upstream's load report, in milliseconds. */
export const LOAD_INTERVAL_MS = 500;

/** Longest wait for the answer to a control call, in milliseconds. */
export const CONTROL_TIMEOUT_MS = 2_000;

/** Time that a caller may keep an answer of `/v1/entries`, in milliseconds. */
export const ENTRIES_TTL_MS = 2_000;

/** Longest wait for a connection to an upstream, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Longest silence of a running upstream stream, in milliseconds. */
export const STREAM_SILENCE_MS = 30_000;

/** Most times that one broken stream is resumed. */
export const MAX_RESUMES = 2;

/** Time told to callers that are refused without a better estimate, in milliseconds. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Time that a caller may take to send its request, in milliseconds. */
export const REQUEST_TIMEOUT_MS = 30_000;

/** Time for which the platform's log keeps records where the settings say nothing, in milliseconds. */
export const DEFAULT_LOG_RETENTION_MS = 7_200_000;

/** Log streams that hold the claims of unrepeatable requests. */
export const DEFAULT_ONCE_SHARDS = 4;

/** Most appends a second of one VM to the streams of claims. */
export const DEFAULT_ONCE_APPENDS_PER_SECOND = 40;

/** Longest wait for a slot of one upstream, in milliseconds. */
export const SLOT_WAIT_MS = 500;

/** Loads a minute that the weight store allows where the settings say nothing. */
export const DEFAULT_WEIGHT_LOADS_PER_MINUTE = 30;
