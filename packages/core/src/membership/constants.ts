/** Time between two steps of a failure detector, in milliseconds. */
export const DETECTOR_TICK_MS = 100;

/** Time between two rounds of probes, in milliseconds. */
export const PROBE_PERIOD_MS = 1_000;

/** Members probed in one round. */
export const PROBES_PER_PERIOD = 2;

/** Time in which a direct probe must be answered, in milliseconds. */
export const PROBE_TIMEOUT_MS = 500;

/** Members asked to probe one that did not answer. */
export const INDIRECT_PROBES = 3;

/** Time from the direct probe in which an indirect one must be answered, in milliseconds. */
export const INDIRECT_TIMEOUT_MS = 1_500;

/** Time that a suspected member has to show itself, in milliseconds. */
export const SUSPICION_MS = 2_500;

/** Gap between two steps that shows that this process was paused, in milliseconds. */
export const PAUSE_GAP_MS = 1_000;

/** Time between two heartbeats of a full mesh, in milliseconds. */
export const FULL_MESH_HEARTBEAT_MS = 1_000;

/** Time between two heartbeats to the neighbours of a grid, in milliseconds. */
export const GRID_HEARTBEAT_MS = 5_000;

/** Heartbeat intervals without a heartbeat after which a member counts as dead. */
export const MISSED_HEARTBEATS = 3;

/** Least members per cell of the grid, on average. */
export const GRID_TARGET_REDUNDANCY = 3;

/** Times that an update is piggy-backed, for each doubling of the members. */
export const PIGGYBACK_FACTOR = 3;

/** Most updates in one message. */
export const MAX_UPDATES_PER_MESSAGE = 8;

/** Addresses given to a caller. */
export const ENTRIES_PER_ANSWER = 3;

/** Age up to which the knowledge of the log's head counts as fresh, in milliseconds. */
export const FRESHNESS_BOUND_MS = 3_000;

/** Age up to which a peer's report of the log counts, in milliseconds. */
export const PEER_REPORT_MAX_AGE_MS = 6_000;
