/**
 * Fraction of a pool's capacity, rounded down to whole slots, that accounts above their fair share
 * leave free so that an account within its share can start immediately.
 */
export const RESERVED_CAPACITY_FRACTION = 0.06;

/** Time for which computed shares are cached, in milliseconds. */
export const FAIR_SHARES_TTL_MS = 20;

/** Interval of the check for waiting requests that cannot meet their deadline, in milliseconds. */
export const WAITING_REQUESTS_SWEEP_INTERVAL_MS = 25;

/**
 * A waiting request is refused when its estimated wait exceeds the remaining time by this factor.
 */
export const WAIT_ESTIMATE_TOLERANCE_FACTOR = 1.25;

/** Maximum number of waiting requests per account and VM. */
export const MAX_WAITING_REQUESTS_PER_ACCOUNT = 1_000;

/** Interval at which the rounding of fractional slots rotates between VMs, in milliseconds. */
export const SLOT_ROUNDING_INTERVAL_MS = 4_000;

/** Weight of a new sample in the moving average of the service time. */
export const SERVICE_TIME_EWMA_WEIGHT = 0.05;

/** Time constant of the exponentially decayed offered rate, in milliseconds. */
export const RATE_DECAY_MS = 2_000;

/**
 * Fraction of a rate limit that is split evenly, so that a VM without traffic can admit its first
 * requests.
 */
export const EVEN_RATE_FRACTION = 0.1;

/** Capacity of the rate-limit bucket, as milliseconds of the rate. */
export const RATE_BURST_WINDOW_MS = 250;

export const MIN_RETRY_AFTER_MS = 100;

export const MAX_RETRY_AFTER_MS = 60_000;

/** Time without requests after which the state of an account is dropped, in milliseconds. */
export const ACCOUNT_IDLE_TIMEOUT_MS = 10_000;

/** Interval of usage reports to the other VMs, in milliseconds. */
export const USAGE_REPORT_INTERVAL_MS = 200;

/** Number of usage reports per full report; the others contain only changes. */
export const USAGE_REPORTS_PER_FULL_REPORT = 5;

/** Relative change of an offered rate up to which it is not reported. */
export const OFFERED_RATE_CHANGE_THRESHOLD = 0.1;

/** Age at which the last report of a VM is discarded, in milliseconds. */
export const USAGE_REPORT_TTL_MS = 3_000;
