/** Extra attempts that each first attempt pays for. */
export const RETRY_SHARE = 0.08;

/** Extra attempts allowed before any traffic has paid for them. */
export const RETRY_RESERVE = 3;

/** Most extra attempts that unspent traffic can save up. */
export const RETRY_SAVED_MAX = 50;

/** Most attempts at one request. */
export const MAX_ATTEMPTS = 3;

/** Largest delay before the first retry, in milliseconds. */
export const RETRY_INITIAL_MS = 20;

/** Largest delay before any retry, in milliseconds. */
export const RETRY_MAX_MS = 500;

/** Latencies kept for the hedge delay. */
export const HEDGE_SAMPLES = 64;

/** Fewest latencies from which a hedge delay is computed. */
export const HEDGE_SAMPLES_MIN = 16;

/** Share of look-ups that are answered before their hedge is due. */
export const HEDGE_QUANTILE = 0.95;

/** Shortest wait before a hedge, in milliseconds. */
export const HEDGE_DELAY_MIN_MS = 10;
