/** Time for which a lease holds from the start of its renewal, in milliseconds. */
export const LEASE_DURATION_MS = 15_000;

/** Time between two renewals, in milliseconds. */
export const LEASE_RENEW_INTERVAL_MS = 5_000;

/** Largest relative difference of the rates of two VMs' clocks. */
export const CLOCK_RATE_TOLERANCE = 0.01;

/** Time that one read of the lease stream waits for a record, in milliseconds. */
export const LEASE_READ_WAIT_MS = 1_000;

/** Time between two tries when the log does not answer, in milliseconds. */
export const LEASE_RETRY_MS = 500;
