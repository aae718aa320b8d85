export const MAX_RECORDS_PER_APPEND = 500;

export const MAX_QUEUED_RECORDS_PER_STREAM = 10_000;

/** Target number of records per append for the adaptive append interval. */
export const TARGET_BATCH_RECORDS = 25;

/** Minimum number of records expected within the maximum append interval to enable batching. */
export const MIN_BATCH_RECORDS = 2;

/** Maximum interval between two appends of one stream under load, in milliseconds. */
export const MAX_APPEND_INTERVAL_MS = 50;

/** Delay after which queued deferrable records are appended, in milliseconds. */
export const DEFERRED_APPEND_DELAY_MS = 200;

/** Time constant of the arrival rate's moving average, in milliseconds. */
export const ARRIVAL_RATE_TIME_CONSTANT_MS = 500;

/** Maximum time that a record waits for the append budget, in milliseconds. */
export const MAX_APPEND_BUDGET_WAIT_MS = 500;

/** Initial backoff during which appends fail immediately after one was refused, in milliseconds. */
export const APPEND_REFUSAL_BACKOFF_INITIAL_MS = 50;

/** Maximum backoff during which appends fail immediately after one was refused, in milliseconds. */
export const APPEND_REFUSAL_BACKOFF_MAX_MS = 1_000;

/** Burst capacity of the append budget, as a duration at its rate, in milliseconds. */
export const APPEND_BUDGET_BURST_MS = 1_000;
