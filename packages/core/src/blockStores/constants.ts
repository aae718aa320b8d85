/**
 * Time in milliseconds within which a fetch of blocks must end, after the last moment at which they
 * were known to stay: their weights to be the newest, and their store to be in the same epoch.
 */
export const FETCH_WINDOW_MS = 3_000;

/** Extra wait in milliseconds before blocks are freed or saved, to tolerate clock drift between VMs. */
export const CLOCK_DRIFT_MARGIN_MS = 300;

/**
 * Age in milliseconds of what is known of a store up to which parts are saved there. Readers confirm an
 * epoch about once a second.
 */
export const MAX_SAVE_AGE_MS = 2_000;
