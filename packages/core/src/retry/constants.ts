/** Extra attempts that each first attempt adds to the retry budget. */
export const RETRY_BUDGET_RATIO = 0.08;

export const INITIAL_RETRY_BUDGET_BALANCE = 3;

export const MAX_RETRY_BUDGET_BALANCE = 50;

/** Maximum number of sends of a request that may arrive, and of those that are withheld. */
export const MAX_ATTEMPTS = 3;

/** Maximum delay before the first retry, in milliseconds. */
export const INITIAL_RETRY_DELAY_MS = 20;

/** Maximum delay before any retry, in milliseconds. */
export const MAX_RETRY_DELAY_MS = 500;

/** Number of recent latencies from which the hedge delay is computed. */
export const HEDGE_SAMPLE_COUNT = 64;

/** Minimum number of latencies required to compute a hedge delay. */
export const MIN_HEDGE_SAMPLES = 16;

/** Latency quantile after which a lookup is hedged. */
export const HEDGE_QUANTILE = 0.95;

export const MIN_HEDGE_DELAY_MS = 10;

/** Maximum number of further tries of a request after connections that could not be opened. */
export const MAX_UNREACHED_TRIES = 32;

/** Maximum number of such tries of a VM per second, for all its requests. */
export const MAX_UNREACHED_TRIES_PER_SECOND = 200;
