/** Time without a byte after which an upstream that owes a response counts as silent, in milliseconds. */
export const UPSTREAM_SILENCE_MS = 1_000;

/** Time without a byte of any upstream before failed connects count, in milliseconds. */
export const MIN_CONTACT_GAP_MS = 300;

/** Number of upstreams that must fail alike, as far as there are so many. */
export const MIN_FAILING_UPSTREAMS = 2;
