/**
 * Part of a pool's capacity that accounts above their share leave free, in whole slots, so that an
 * account within its share starts at once.
 */
export const RESERVED_CAPACITY_PART = 0.06;

/** Longest age of computed shares, in milliseconds. */
export const SHARES_EXPIRY_MS = 20;

/** Time between two looks for waiting requests whose deadline can't be met, in milliseconds. */
export const SWEEP_INTERVAL_MS = 25;

/** Factor by which an estimate must miss a deadline before a waiting request is refused. */
export const ESTIMATE_TOLERANCE = 1.25;

/** Most requests of one account that wait at one VM. */
export const MAX_WAITING_PER_ACCOUNT = 1_000;

/** Time between two changes of the rounding of fractional slots, in milliseconds. */
export const ROUNDING_INTERVAL_MS = 4_000;

/** Weight of a new sample in the average service time. */
export const SERVICE_TIME_GAIN = 0.05;

/** Time constant of the offered rate, in milliseconds. */
export const OFFERED_RATE_MS = 2_000;

/** Part of a rate limit that is split evenly, so that a VM without traffic can begin. */
export const EVEN_RATE_PART = 0.1;

/** Time for which unused rate can be saved up, in milliseconds. */
export const RATE_BURST_MS = 250;

/** Shortest `Retry-After`, in milliseconds. */
export const RETRY_AFTER_MIN_MS = 100;

/** Longest `Retry-After`, in milliseconds. */
export const RETRY_AFTER_MAX_MS = 60_000;

/** Time after which an account without requests is forgotten, in milliseconds. */
export const ACCOUNT_IDLE_MS = 10_000;

/** Time between two reports of usage to the other VMs, in milliseconds. */
export const USAGE_INTERVAL_MS = 200;

/** Reports from one whole report to the next; those between name only what has changed. */
export const REPORTS_PER_WHOLE = 5;

/** Change of an offered rate, as a part of it, below which it is not reported. */
export const OFFERED_CHANGE_MIN = 0.1;

/** Time after which a VM without a new report counts as not heard, in milliseconds. */
export const USAGE_EXPIRY_MS = 3_000;
