/** Time between two reads of the VM list, in milliseconds. */
export const VM_LIST_POLL_MS = 1_000;

/** Time in which the VM list must answer, in milliseconds. */
export const VM_LIST_TIMEOUT_MS = 2_000;

/** Time for which a caller may keep an answer of `/v1/entries`, in milliseconds. */
export const ENTRIES_TTL_MS = 5_000;
