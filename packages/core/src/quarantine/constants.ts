/** Number of separate crashes with a part, and without a survival, from which on it is refused. */
export const MIN_PART_CRASHES = 4;

/** The same for a whole request, which others share far less often than a part. */
export const MIN_REQUEST_CRASHES = 3;

/**
 * The same for a whole request that was lost at all recent ends, and no other at as many: it is held,
 * and one VM tries it.
 */
export const MIN_UNRIVALLED_REQUEST_CRASHES = 2;

/** Time in which the VMs that may try a held request do so; then more VMs may. */
export const TRIAL_TURN_MS = 3_000;

/** Factor by which the number of VMs that may try a held request grows with each turn. */
export const TRIAL_GROUP_GROWTH = 8;

/** The same for a whole request while most upstreams end without it. */
export const MIN_MINORITY_REQUEST_CRASHES = 5;

/**
 * Number of crashes at about the same time that count as two under a whole request, because a sound
 * one is hardly at so many upstreams while a rack or a kill ends them.
 */
export const LARGE_CLUSTER_CRASHES = 3;

/** Minimum time between the first and the last of them; a rack or a kill ends all within less. */
export const MIN_LARGE_CLUSTER_SPREAD_MS = 50;

/** Fraction of the recent ends of a service that come under a request which causes them. */
export const MIN_FRACTION_OF_ENDS = 0.6;

/** Time for which an end is recent. */
export const END_WINDOW_MS = 20_000;

/** Maximum number of ends that are remembered. */
export const MAX_RECENT_ENDS = 256;

/** Crashes closer together than this count as one, since a rack or a kill ends many engines at once. */
export const CRASH_CLUSTER_MS = 100;

/**
 * Time from the first crash to a refusal, in which other VMs receive it and can report a survival;
 * six gossip intervals of a fleet with relays, there and back.
 */
export const REFUTATION_MS = 1_500;

/** Maximum number of patterns whose last survival is remembered. */
export const MAX_REMEMBERED_SURVIVALS = 4_096;

/** Time for which a crash counts against patterns that are not refused. */
export const CRASH_MEMORY_MS = 60_000;

/** Time without a request for a refused pattern after which it is no longer refused. */
export const REFUSAL_IDLE_MS = 600_000;

/** Number of events of a response by which the engine has survived the beginning of its answer. */
export const MIN_SURVIVAL_EVENTS = 4;

/** Maximum number of patterns that are tracked. */
export const MAX_TRACKED_PATTERNS = 256;

/** Maximum number of crashes that are kept for a pattern, half of them the first, half the last ones. */
export const MAX_CRASHES_PER_PATTERN = 12;

/** Maximum number of parts of one prompt that are suspected. */
export const MAX_PARTS_PER_PROMPT = 64;

/** Maximum length of a pattern's label in logs and messages, in characters. */
export const MAX_PATTERN_LABEL_LENGTH = 64;

/** Maximum number of patterns in a message to other VMs. */
export const MAX_ROWS_PER_MESSAGE = 16;

/** Interval at which unchanged rows are sent again, for VMs that missed them. */
export const ROW_REPEAT_MS = 1_000;

/** Minimum advance of the time of the last request for it to be worth a message. */
export const REQUEST_TIME_STEP_MS = 5_000;

/** Maximum number of digests that are kept in memory. */
export const MAX_MEMOIZED_DIGESTS = 4_096;

/** Number of answered requests that are kept, in case they are suspected later. */
export const MAX_RECENT_ANSWERS = 256;

/** Size up to which the body of an answered request is kept, in bytes. */
export const MAX_RECENT_ANSWER_BODY_BYTES = 4 * 1024;
