export const VM_LIST_POLL_INTERVAL_MS = 1_000;

export const VM_LIST_READ_TIMEOUT_MS = 2_000;

/** Time for which callers may cache a response of `/v1/entries`, in milliseconds. */
export const ENTRIES_TTL_MS = 5_000;
