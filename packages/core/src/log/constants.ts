/** Most records in one append. */
export const MAX_GROUP_RECORDS = 500;

/** Most records that wait for an append of one stream. */
export const MAX_QUEUED_RECORDS = 10_000;

/** Records that the adaptive window aims to put into one append. */
export const TARGET_GROUP_RECORDS = 25;

/** Records expected within the longest spacing from which on appends are spaced. */
export const MIN_GROUP_RECORDS = 2;

/** Longest time between two appends of one stream under load, in milliseconds. */
export const MAX_APPEND_SPACING_MS = 50;

/** Longest time that a record which nobody waits for stays in the queue, in milliseconds. */
export const LAZY_APPEND_DELAY_MS = 200;

/** Time constant of the arrival rate's moving average, in milliseconds. */
export const ARRIVAL_AVERAGE_MS = 500;

/** Longest time that a group waits for the append budget, in milliseconds. */
export const MAX_BUDGET_WAIT_MS = 500;

/** Shortest time for which appends are refused at once after the log refused one, in milliseconds. */
export const REFUSAL_BACKOFF_INITIAL_MS = 50;

/** Longest time for which appends are refused at once after the log refused one, in milliseconds. */
export const REFUSAL_BACKOFF_MAX_MS = 1_000;

/** Time whose appends the budget lets through in one burst, in milliseconds. */
export const BUDGET_BURST_MS = 1_000;
