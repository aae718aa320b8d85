/**
 * Requests in flight that an upstream gets from all VMs together when its pace begins: this many, or
 * this fraction of its slots if that is more.
 */
export const INITIAL_PACE = 2;
export const INITIAL_SLOT_FRACTION = 1 / 16;

/**
 * Bounds of the time in which the pace doubles while answers come at a usual time, in milliseconds;
 * within them, it is the usual time until an answer begins.
 */
export const MIN_PACE_ROUND_MS = 100;
export const MAX_PACE_ROUND_MS = 400;

/** Multiple of that time for a VM that has had no answer from the upstream yet. */
export const UNANSWERED_ROUNDS = 2;

/** Slowdown from which the pace is halved at each round. */
export const PACE_SLOWDOWN = 1.8;

/** Time after which a pace ends in any case, in milliseconds. */
export const MAX_PACE_MS = 5_000;

/** Maximum number of rounds that one look at a pace makes up for. */
export const MAX_ROUNDS_AT_ONCE = 10;

/** Time for which an upstream must have been out to begin anew with its pace, in milliseconds. */
export const MIN_OUT_MS = 500;

/** Time after the first choice for a service in which its upstreams count as known, in milliseconds. */
export const KNOWN_UPSTREAMS_MS = 3_000;

/** Time for which the mean load of a service's upstreams is kept, in milliseconds. */
export const MEAN_LOAD_TTL_MS = 200;
