/** Time for which a stream may be taken up again, in milliseconds; callers wait less than that. */
export const STREAM_LIFE_MS = 20_000;

/** Maximum number of begun streams that a VM remembers. */
export const MAX_BEGUN_STREAMS = 100_000;

/** Maximum number of software versions that are known from one source; further ones are not recorded. */
export const MAX_VERSIONS = 1_000;

/** Granularity of the reported ages of versions, so that reports seldom change. */
export const VERSION_AGE_STEP_MS = 5_000;
