/** Time after which a VM that waits for a slot asks again, in milliseconds. */
export const SLOT_RETRY_MS = 100;

/** Time between two looks at which groups to claim or release, in milliseconds. */
export const GROUP_CHECK_INTERVAL_MS = 1_000;

/** Time for which another VM must be the better granter before a group is released, in milliseconds. */
export const REBALANCE_AFTER_MS = 30_000;

/** Time between two inquiries of a VM that has not answered, in milliseconds. */
export const INQUIRY_INTERVAL_MS = 1_000;

/** Delay after which a caller refused for want of a slot may try again, in milliseconds. */
export const SLOT_RETRY_AFTER_MS = 1_000;
