/** Poll interval of the VM list, in milliseconds. */
export const VM_LIST_POLL_INTERVAL_MS = 1_000;

/** Timeout of a read of the VM list, in milliseconds. */
export const VM_LIST_TIMEOUT_MS = 2_000;

/** Time for which clients may cache a response of `/v1/entries`, in milliseconds. */
export const ENTRIES_TTL_MS = 5_000;
