/** Interval at which a VM with waiting requests asks the granter again, in milliseconds. */
export const SLOT_RETRY_INTERVAL_MS = 100;

/** Interval of checks for groups to claim or release, in milliseconds. */
export const GROUP_CHECK_INTERVAL_MS = 1_000;

/**
 * Time for which rendezvous hashing must prefer another VM before a group is released, in
 * milliseconds.
 */
export const REBALANCE_DELAY_MS = 30_000;

/** Interval of inquiries to a VM that has not replied, in milliseconds. */
export const INQUIRY_RETRY_INTERVAL_MS = 1_000;

/** Retry delay sent to callers that are refused because no slot is free, in milliseconds. */
export const SLOT_RETRY_AFTER_MS = 1_000;
