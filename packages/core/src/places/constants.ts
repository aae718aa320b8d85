/** Fraction of an objective for which an engine may have prompts to prefill before a request. */
export const BACKLOG_OBJECTIVE_FRACTION = 0.75;

/** Fraction of the caller's time limit for which a request may queue at a plain upstream and run. */
export const QUEUE_TIMEOUT_FRACTION = 0.5;

/** Fraction of the objective for which a request may wait for a place in the VM. */
export const WAIT_OBJECTIVE_FRACTION = 0.5;

/**
 * Reports of the other VMs that must come while a request waits; with fewer, what is free by figures of
 * different age says little, and requests pass as they come.
 */
export const REPORTS_PER_WAIT = 2;

/** Fraction of the places that must be free for a request to start without the order. */
export const AMPLE_FRACTION = 0.1;

/** Arrivals in a report delay from which they tell more of the others' than the mean before. */
export const MIN_SEEN_ARRIVALS = 4;

/** Time constant of the demand by priority and of what accounts got, in milliseconds. */
export const DEMAND_WINDOW_MS = 1_000;

/** Time constant of the rate at which waiting requests get places, in milliseconds. */
export const GRANT_WINDOW_MS = 1_000;

/** Time of the demand of more urgent requests for which places are kept free, in milliseconds. */
export const HEADROOM_MS = 300;

/** Bounds of the places that are kept free for more urgent requests, as fractions of all. */
export const MIN_HEADROOM_FRACTION = 0.05;
export const MAX_HEADROOM_FRACTION = 0.5;

/** Demand below which more urgent requests count as absent, in places. */
export const MIN_URGENT_PLACES = 0.05;

/** Number of report delays over which the free places are offered. */
export const FILL_DELAYS = 2;

/** Ends of own requests in a report delay from which a VM fills the places that they leave. */
export const MIN_ENDS = 3;

/** Number of report delays without a word of any VM after which this one counts as alone. */
export const UNHEARD_DELAYS = 10;

/** Nobody is refused while more than this fraction of the places is free. */
export const MAX_REFUSING_FREE_FRACTION = 0.7;

/** Maximum number of requests that wait for the places of a service in one VM. */
export const MAX_WAITING = 256;

/** Interval at which waiting requests are looked at, in milliseconds. */
export const PLACE_POLL_MS = 10;

/** Time for which the room of a service is not computed anew, in milliseconds. */
export const ROOM_TTL_MS = 20;

/** Maximum number of kinds of requests of a service for which room is kept. */
export const MAX_ROOM_KEYS = 64;

/** Largest part of its remaining time for which a caller waits as told. */
export const HONOURED_FRACTION = 1 / 3;

/** Maximum number of returns that are booked for a service and priority. */
export const MAX_BOOKED_RETURNS = 1_000;

/** Time for which a told return counts to recognise those who come back, in milliseconds. */
export const TOLD_RETURN_TTL_MS = 10_000;

/** Maximum number of accounts for which is kept what they got. */
export const MAX_ACCOUNTS = 1_000;

/** Bounds of the return time that is told in an outage, in milliseconds. */
export const MIN_OUTAGE_RETRY_AFTER_MS = 500;
export const MAX_OUTAGE_RETRY_AFTER_MS = 10_000;

/** Return time at the begin of an outage, in milliseconds. */
export const OUTAGE_RETRY_AFTER_MS = 1_500;

/** Spread of the return times in an outage, around their mean. */
export const OUTAGE_SPREAD = 0.5;
