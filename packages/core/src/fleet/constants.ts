/** Time for which entries that lapsed during a log outage count as present after it, in milliseconds. */
export const LAPSE_GRACE_MS = 2_000;

/** Time for which an upstream counts as cold after a broken connection, in milliseconds. */
export const SUSPECT_MS = 2_500;

/** Age up to which a load report is weighed in full, in milliseconds. */
export const LOAD_FRESH_MS = 1_000;

/** Time for which an engine counts as loading after its order giver has said so, in milliseconds. */
export const LOADING_MEMORY_MS = 1_500;

/** Silence after which an entry VM counts as dead, in milliseconds. */
export const ENTRY_SILENCE_MS = 3_400;

/** Time for which an entry VM that fell silent is still counted when shares are divided, in milliseconds. */
export const ENTRY_SHARE_MS = 15_000;

/** Silence of an open stream from which its upstream seems to be down, in milliseconds. */
export const SILENT_STREAM_MS = 900;

/** Requests without any byte that make an upstream seem to be down after a longer silence. */
export const SILENT_REQUESTS = 2;

/** Silence after which such requests do, in milliseconds. */
export const SILENT_REQUESTS_MS = 1_600;

/** Longest time for which an upstream that seems to be down gets no request, in milliseconds. */
export const DOWN_MS = 2_500;

/** Age that a heartbeat may have when it is read, in milliseconds. */
export const HEARTBEAT_LAG_MS = 1_000;

/** Entry VMs of a zone from which its callers are told of no others. */
export const MIN_ZONE_ENTRIES = 6;

/** Entry VMs that one answer of the directory names at the most; callers read no more. */
export const MAX_CALLER_ENTRIES = 64;

/** Entry VMs from which zones have relays: below, what all tell all costs less than a relay. */
export const RELAY_MIN_VMS = 20;

/** Relays of a zone; the second takes over where the first falls silent. */
export const RELAYS_PER_ZONE = 2;

/** Time for which a choice of relays stands, in milliseconds. */
export const RELAY_PLAN_MS = 300;
