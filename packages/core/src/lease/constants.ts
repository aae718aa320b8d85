/** Lease duration, counted from the start of its renewal, in milliseconds. */
export const LEASE_DURATION_MS = 15_000;

export const LEASE_RENEW_INTERVAL_MS = 5_000;

/** Maximum relative difference between the clock rates of two VMs. */
export const MAX_CLOCK_RATE_DRIFT = 0.01;

/** Long-poll duration of one read of the lease stream, in milliseconds. */
export const LEASE_LONG_POLL_MS = 1_000;

/** Delay before a failed read of the lease stream is retried, in milliseconds. */
export const LEASE_READ_RETRY_MS = 500;
