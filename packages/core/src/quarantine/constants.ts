/** Number of separate crashes with a part, and without a survival, from which on it is refused. */
export const MIN_CRASHES = 4;

/** Crashes closer together than this count as one, since a rack or a kill ends many engines at once. */
export const CRASH_CLUSTER_MS = 100;

/**
 * Time from the first crash to a refusal, in which other VMs hear of it and can tell of a survival;
 * six gossip intervals of a fleet with relays, there and back.
 */
export const REFUTATION_MS = 1_500;

/** Maximum number of parts whose last survival is remembered. */
export const MAX_REMEMBERED_SURVIVALS = 4_096;

/** Time for which a crash counts against parts that are not refused. */
export const CRASH_MEMORY_MS = 60_000;

/** Time without a request for a refused part after which it is no longer refused. */
export const REFUSAL_IDLE_MS = 600_000;

/** Number of events of a response by which the engine has survived the beginning of its answer. */
export const MIN_SURVIVAL_EVENTS = 4;

/** Maximum number of parts that are tracked. */
export const MAX_TRACKED_QUARANTINE_PARTS = 256;

/** Maximum number of crashes that are kept for a part. */
export const MAX_CRASHES_PER_PART = 12;

/** Maximum number of parts of one prompt that are suspected. */
export const MAX_PARTS_PER_PROMPT = 64;

/** Maximum length of a part's name in logs and messages, in characters. */
export const MAX_PART_LABEL_LENGTH = 64;

/** Maximum number of parts in a message to other VMs. */
export const MAX_ROWS_PER_MESSAGE = 16;

/** Interval at which unchanged rows are sent again, for VMs that missed them. */
export const ROW_REPEAT_MS = 1_000;

/** Minimum advance of the time of the last request for it to be worth a message. */
export const REQUEST_TIME_STEP_MS = 5_000;

/** Maximum number of digests that are kept in memory. */
export const MAX_MEMOIZED_DIGESTS = 4_096;
