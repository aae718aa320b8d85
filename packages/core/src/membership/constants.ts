/** Interval between steps of a failure detector, in milliseconds. */
export const DETECTOR_TICK_MS = 100;

/** Protocol period: interval between probe rounds, in milliseconds. */
export const PROBE_PERIOD_MS = 1_000;

/** Number of members probed per round. */
export const PROBES_PER_PERIOD = 2;

/** Timeout of a direct probe, in milliseconds. */
export const PROBE_TIMEOUT_MS = 500;

/** Number of members asked to probe an unresponsive member on this VM's behalf. */
export const INDIRECT_PROBE_COUNT = 3;

/** Timeout of indirect probes, counted from the direct probe, in milliseconds. */
export const INDIRECT_PROBE_TIMEOUT_MS = 1_500;

/** Time that a suspected member has to refute the suspicion, in milliseconds. */
export const SUSPICION_TIMEOUT_MS = 2_500;

/** Gap between two steps that indicates a pause of this process, in milliseconds. */
export const PAUSE_DETECTION_MS = 1_000;

/** Heartbeat interval of the full mesh, in milliseconds. */
export const FULL_MESH_HEARTBEAT_MS = 1_000;

/** Heartbeat interval to grid neighbours, in milliseconds. */
export const GRID_HEARTBEAT_MS = 5_000;

/** Number of missed heartbeats after which a member is declared dead. */
export const MAX_MISSED_HEARTBEATS = 3;

/** Minimum mean number of members per grid cell. */
export const GRID_TARGET_REDUNDANCY = 3;

/** Number of times an update is piggybacked per doubling of the member count. */
export const PIGGYBACK_FACTOR = 3;

/** Maximum number of updates per message. */
export const MAX_UPDATES_PER_MESSAGE = 8;

/** Number of entry VM addresses returned to a caller. */
export const ENTRY_VMS_PER_RESPONSE = 3;

/** Maximum age at which a known log head still counts as fresh, in milliseconds. */
export const MAX_LOG_HEAD_AGE_MS = 3_000;

/** Maximum age of a usable peer report about the log, in milliseconds. */
export const PEER_LOG_REPORT_MAX_AGE_MS = 6_000;
