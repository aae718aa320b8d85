/** Time for which a lower rate stays in force after a higher one, since responses overtake each other. */
export const LOWER_RATE_HOLD_MS = 500;

/**
 * Lowest rate that is enforced, in requests per second. An upstream that announces less still gets
 * a request from time to time, whose response tells whether the limit still holds.
 */
export const MIN_ENFORCED_RATE = 0.25;

/** Time for which the end of a limit is remembered and sent to other VMs, in milliseconds. */
export const ENDED_LIMIT_MEMORY_MS = 10_000;

/** Maximum number of upstreams in a message to other VMs. */
export const MAX_RATE_ROWS_PER_MESSAGE = 64;

/** Interval at which unchanged rows are sent again, for VMs that missed them or have just started. */
export const RATE_ROW_REPEAT_MS = 1_000;
