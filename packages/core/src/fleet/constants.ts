/**
 * Time after a log outage for which entries that expired during it still count as present, in
 * milliseconds.
 */
export const LOG_OUTAGE_GRACE_MS = 2_000;

/** Time for which an upstream counts as cold after a lost connection, in milliseconds. */
export const SUSPECTED_COLD_MS = 2_500;

/** Maximum number of upstreams in the registry; further ones are not used. */
export const MAX_UPSTREAMS = 6_000;

/** Maximum number of entry VMs in the roster; further ones are not listed. */
export const MAX_ENTRIES = 4_000;

/** Minimum interval at which a full roster drops the VMs that may not be sending any more. */
export const ROSTER_PRUNE_INTERVAL_MS = 1_000;

/** Maximum number of leaving upstreams that are remembered beyond their registry entries. */
export const MAX_LEAVING_BOOTS = 4_000;

/** Age up to which a load report is used in the load estimate, in milliseconds. */
export const LOAD_REPORT_TTL_MS = 1_000;

/**
 * Time for which an engine counts as loading after the last report of the VM that ordered the load,
 * in milliseconds.
 */
export const LOADING_REPORT_TTL_MS = 1_500;

/** Time without heartbeats after which an entry VM counts as failed, in milliseconds. */
export const ENTRY_HEARTBEAT_TIMEOUT_MS = 3_400;

/**
 * Time after which a VM that no relay names any more counts as silent while the log is down, in
 * milliseconds; a relay names it until its last report has expired.
 */
export const SILENCE_TIMEOUT_MS = 1_000;

/**
 * Time without heartbeats for which an entry VM may still be sending and is counted when limits are
 * divided, in milliseconds.
 */
export const ENTRY_SENDER_TIMEOUT_MS = 15_000;

/**
 * The same for an entry VM that did not say that it leaves, in milliseconds: it may be cut off from the
 * log alone, and serve callers for as long as that lasts.
 */
export const UNANNOUNCED_LOSS_TIMEOUT_MS = 120_000;

/**
 * Time after the first snapshot of the heartbeats until those of VMs that started together with this
 * one have been read, in milliseconds: two heartbeats.
 */
export const ROSTER_SETTLE_MS = 2_800;

/** Age that a heartbeat of the first snapshot is taken to have, in milliseconds: one interval. */
export const SNAPSHOT_HEARTBEAT_AGE_MS = 1_400;

/** Longest time until the other VMs know of one that has started, in milliseconds. */
export const ROSTER_LAG_MS = 5_000;

/**
 * Time without bytes, with a stream open, after which an upstream is considered stalled, in
 * milliseconds.
 */
export const STREAM_STALL_TIMEOUT_MS = 900;

/**
 * Minimum number of requests in flight for an upstream to be considered stalled without open
 * streams.
 */
export const MIN_REQUESTS_FOR_STALL = 2;

/** Time without bytes after which such an upstream is considered stalled, in milliseconds. */
export const REQUESTS_STALL_TIMEOUT_MS = 1_600;

/** Maximum time for which an upstream that appears to be down gets no requests, in milliseconds. */
export const MAX_DOWN_MS = 2_500;

/** Maximum delay between writing and reading a heartbeat, in milliseconds. */
export const MAX_HEARTBEAT_DELAY_MS = 1_000;

/** Minimum number of entry VMs in a zone for its callers to be sent only to these. */
export const MIN_ZONE_ENTRIES = 6;

/** Maximum number of entry VMs per directory response; callers read no more than this. */
export const MAX_CALLER_ENTRIES = 64;

/** Time for which the directory's answers leave out the same VMs: that for which callers keep one. */
export const CALLER_WINDOW_MS = 1_000;

/** Utilization above which an entry VM wants fewer callers; queues are then more than three times as long. */
export const MAX_CALLER_UTILIZATION = 0.7;

/** Utilization below which it wants more again. */
export const RESTORING_UTILIZATION = 0.3;

/** Smallest share of the directory's answers; with less, a ready VM may be out of two in a row. */
export const MIN_CALLER_SHARE = 0.5;

/** Step in which shares of the directory's answers change. */
export const CALLER_SHARE_STEP = 1 / 8;

/**
 * Minimum fleet size for relays to aggregate the load of their zones; below it, direct all-to-all
 * load reports cost less.
 */
export const MIN_RELAY_FLEET_SIZE = 20;

/** Minimum fleet size for two relays that read the log and the stores for the whole fleet. */
export const MIN_FEED_FLEET_SIZE = 4;

/** Number of relays per group; the second takes over if the first stops sending. */
export const RELAYS_PER_GROUP = 2;

/**
 * Bandwidth that a relay needs for each VM of its group, in Mbit/s. Half of it is left to the
 * relay's own requests.
 */
export const RELAY_LINK_MBPS_PER_VM = 1.5;

/** Time for which the selection of relays is cached, in milliseconds. */
export const RELAY_SELECTION_TTL_MS = 300;

/** A failed request counts as one in flight for this many times what a sound one takes. */
export const FAILURE_LOAD_FACTOR = 2;

/** Bounds of the time for which a failed request counts as one in flight, in milliseconds. */
export const MIN_FAILURE_LOAD_MS = 50;
export const MAX_FAILURE_LOAD_MS = 10_000;
