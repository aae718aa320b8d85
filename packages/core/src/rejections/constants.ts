/** Time for which a limit stays after its last announcement, since responses overtake each other, in milliseconds. */
export const ANNOUNCED_LIMIT_HOLD_MS = 1_000;

/** Fraction of a limit that the VMs divide among them; the rest is for what is in the air. */
export const USED_LIMIT_FRACTION = 0.5;

/** Shortest pause of a VM at an upstream that rejected its request, in milliseconds. */
export const MIN_REJECTION_PAUSE_MS = 150;

/** Longest one, in milliseconds. */
export const MAX_REJECTION_PAUSE_MS = 5_000;

/** Highest limit that is enforced, in rejections per second; no upstream needs protection at more. */
export const MAX_ENFORCED_LIMIT = 1_000;

/** Fraction of an upstream's slots that is in use at most when a VM takes more than its part. */
export const SPARE_LOAD_FRACTION = 0.5;

/** Fraction of what an upstream's slots serve that all VMs together send. */
export const USED_SLOT_FRACTION = 0.9;

/** Time that requests of a service are taken to run before one has ended, in milliseconds. */
export const UNKNOWN_RUN_MS = 1_000;

/** Requests for each slot that all VMs together may make up for, if each of them sent nothing before. */
export const SAVED_REQUESTS_PER_SLOT = 2;
