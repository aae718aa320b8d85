/** Time for which a lower rate stays in force after a higher one, since responses overtake each other. */
export const LOWER_RATE_HOLD_MS = 500;

/**
 * Lowest rate that is enforced, in requests per second. An upstream that announces less still gets
 * a request from time to time, whose response shows whether the limit still holds.
 */
export const MIN_ENFORCED_RATE = 0.25;

/** Highest rate that is enforced, in requests per second; no upstream needs protection at more. */
export const MAX_ENFORCED_RATE = 1_000;

/** Time for which the end of a limit is remembered and sent to other VMs, in milliseconds. */
export const ENDED_LIMIT_MEMORY_MS = 10_000;

/** Maximum number of upstreams in a message to other VMs. */
export const MAX_RATE_ROWS_PER_MESSAGE = 64;

/** Maximum number of upstreams whose announcements are kept. */
export const MAX_TRACKED_UPSTREAMS = 8_192;

/** Interval at which unchanged rows are sent again, for VMs that missed them or have just started. */
export const RATE_ROW_REPEAT_MS = 1_000;

/** Fraction of an announced rate that the first granter of an upstream grants. */
export const FIRST_GRANTER_FRACTION = 0.95;

/** Fraction that the second granter grants to VMs that get no reply from the first. */
export const SECOND_GRANTER_FRACTION = 0.2;

/**
 * Time for which a VM must have been the first granter before it grants the larger fraction, in
 * milliseconds; longer than it takes the previous one to learn of the change.
 */
export const GRANTER_SETTLE_MS = 2_000;

/** Time from its start in which a permit may be used, in milliseconds. */
export const PERMIT_USE_MS = 300;

/** Time after which a granter counts as silent, in milliseconds. */
export const PERMIT_REPLY_TIMEOUT_MS = 80;

/** Time for which nothing is requested from a silent granter, in milliseconds. */
export const SILENT_GRANTER_PAUSE_MS = 1_000;

/** Pause of an upstream for which nobody grants permits, in milliseconds. */
export const NO_GRANTER_PAUSE_MS = 500;

/** Maximum number of requests of one VM for permits of one upstream that await a reply. */
export const MAX_PENDING_PERMIT_REQUESTS = 4;

/** Time for which a denied request of a more urgent class keeps its precedence, in milliseconds. */
export const PRECEDENCE_MS = 2_000;

/** Fraction of the interval between two permits for which a free one is kept for more urgent classes. */
export const PRECEDENCE_FRACTION = 0.4;

/** Longest time for which it is kept, in milliseconds. */
export const MAX_PRECEDENCE_WAIT_MS = 200;
