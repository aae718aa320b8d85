import { toId } from '../ids.js';
import type { StreamName } from '../ids.js';

/** Retention of deleted rows' offsets, by the log's clock, in milliseconds. */
export const DELETED_ROW_RETENTION_MS = 24 * 60 * 60 * 1_000;

/** Retention of the ids of invalid edits, by the log's clock, in milliseconds. */
export const INVALID_EDIT_RETENTION_MS = 60 * 60 * 1_000;

/** Timeout of an edit from submission to read-back, in milliseconds. */
export const EDIT_TIMEOUT_MS = 10_000;

/** Long-poll duration of one read while an editor reads its edit back, in milliseconds. */
export const READ_BACK_LONG_POLL_MS = 1_000;

/** Time without read-back after which an edit is appended again, in milliseconds. */
export const REAPPEND_AFTER_MS = 2_000;

/** Initial backoff after a failed log call, in milliseconds. */
export const EDIT_BACKOFF_INITIAL_MS = 50;

/** Maximum backoff after a failed log call, in milliseconds. */
export const EDIT_BACKOFF_MAX_MS = 1_000;

/** Number of records after a snapshot that makes a new snapshot due. */
export const MAX_RECORDS_AFTER_SNAPSHOT = 2_000;

/** Snapshot age at which a new snapshot is due, as a fraction of the log's retention. */
export const SNAPSHOT_AGE_FRACTION = 0.3;

/** Jitter of that age across VMs, as a fraction of the log's retention. */
export const SNAPSHOT_JITTER_FRACTION = 0.2;

/** Log stream of the configuration table. */
export const CONFIG_STREAM = toId<StreamName>('config');
