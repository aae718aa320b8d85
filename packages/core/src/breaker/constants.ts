/** Failures without a success between them that open a breaker. */
export const FAILURES_TO_OPEN = 5;

/** Time for which a breaker stays open at first, in milliseconds. */
export const OPEN_INITIAL_MS = 2_000;

/** Longest time for which a breaker stays open, in milliseconds. */
export const OPEN_MAX_MS = 30_000;

/** Largest share of a group of upstreams that may be ejected at once. */
export const MAX_EJECTED_SHARE = 0.5;
