/** Maximum size of a request body, in bytes. */
export const MAX_REQUEST_BODY_BYTES = 16 * 1024 * 1024;

/** Default memory of the process, in megabytes. */
export const DEFAULT_MEMORY_MB = 1_024;

/** Interval between reads of an upstream's load report, in milliseconds. */
export const LOAD_POLL_INTERVAL_MS = 500;

/** Timeout of a control call, such as a load report or a cancellation, in milliseconds. */
export const CONTROL_CALL_TIMEOUT_MS = 2_000;

/** Default time for which callers may cache a `/v1/entries` response, in milliseconds. */
export const DEFAULT_ENTRIES_TTL_MS = 2_000;

/** Timeout of a connection to an upstream, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Maximum time between two chunks of an upstream response body, in milliseconds. */
export const BODY_IDLE_TIMEOUT_MS = 30_000;

/** Maximum size of the body of a response that is not a stream, in bytes. */
export const MAX_RESPONSE_BODY_BYTES = 16 * 1024 * 1024;

/** Limits of a load report of an upstream. */
export const LOAD_REPORT_LIMITS = { maxBytes: 64 * 1024, maxMs: 10_000 };

/** Limits of a page of the cache events of an engine. */
export const EVENT_PAGE_LIMITS = { maxBytes: 4 * 1024 * 1024, maxMs: 10_000 };

/** Limits of a response of the block transfer API. The largest responses list all blocks of a store. */
export const TRANSFER_RESPONSE_LIMITS = { maxBytes: 32 * 1024 * 1024 };

/** Maximum size of one event of a stream, in bytes. */
export const MAX_EVENT_BYTES = 1024 * 1024;

/** Maximum number of times that an attempt resumes its interrupted stream. */
export const MAX_STREAM_RESUMES = 2;

/** Retry delay sent to refused callers if there is no better estimate, in milliseconds. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Timeout for the receipt of a complete request, in milliseconds. */
export const REQUEST_TIMEOUT_MS = 30_000;

/** Default for how long the platform's log retains records, in milliseconds. */
export const DEFAULT_LOG_RETENTION_MS = 7_200_000;

/** Default number of log streams that store the claims of non-idempotent requests. */
export const DEFAULT_CLAIM_SHARD_COUNT = 4;

/** Default limit on the appends per second of one VM to the claim streams. */
export const DEFAULT_CLAIM_APPENDS_PER_SECOND = 40;

/** Timeout of the wait for a slot of one upstream, in milliseconds. */
export const SLOT_WAIT_TIMEOUT_MS = 500;

/** Default limit on the weight loads per minute of the whole fleet. */
export const DEFAULT_WEIGHT_LOADS_PER_MINUTE = 30;
