export const CONSECUTIVE_FAILURES_TO_OPEN = 5;

export const INITIAL_BREAKER_OPEN_MS = 2_000;

export const MAX_BREAKER_OPEN_MS = 30_000;

/** Maximum fraction of a group of upstreams that may be ejected at the same time. */
export const MAX_EJECTED_FRACTION = 0.5;

/** Time after which a probe without an outcome counts as lost, and the next one is admitted. */
export const PROBE_TIMEOUT_MS = 30_000;

/** Length of the window over which failure rates are compared. */
export const FAILURE_RATE_WINDOW_MS = 10_000;

/** Number of outcomes in the window from which a failure rate says something. */
export const MIN_FAILURE_RATE_OUTCOMES = 20;

/** An upstream is ejected if its failure rate exceeds that of the rest of its group by this much. */
export const MAX_FAILURE_RATE_EXCESS = 0.4;
