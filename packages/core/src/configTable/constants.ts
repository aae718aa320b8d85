import { toId } from '../ids.js';
import type { StreamName } from '../ids.js';

/** Time for which a deleted row's offset is remembered, by the log's clock, in milliseconds. */
export const DELETED_ROW_MEMORY_MS = 24 * 60 * 60 * 1_000;

/** Time for which the id of an invalid edit is remembered, by the log's clock, in milliseconds. */
export const INVALID_EDIT_MEMORY_MS = 60 * 60 * 1_000;

/** Time that an editor gives one edit from submission to read-back, in milliseconds. */
export const EDIT_TIMEOUT_MS = 10_000;

/** Longest wait of one read while an editor looks for its edit, in milliseconds. */
export const READ_BACK_WAIT_MS = 1_000;

/** Time to read the edit back before it is appended again, in milliseconds. */
export const REAPPEND_AFTER_MS = 2_000;

/** Shortest delay after a failed log call, in milliseconds. */
export const EDIT_BACKOFF_INITIAL_MS = 50;

/** Longest delay after a failed log call, in milliseconds. */
export const EDIT_BACKOFF_MAX_MS = 1_000;

/** Records after a snapshot that make a new one worthwhile. */
export const SNAPSHOT_TAIL_RECORDS = 2_000;

/** Age of a snapshot at which it may be written again, as a share of the log's retention. */
export const SNAPSHOT_AGE_SHARE = 0.3;

/** Spread of that age over the VMs, as a share of the log's retention. */
export const SNAPSHOT_JITTER_SHARE = 0.2;

/** Stream that holds the table. */
export const CONFIG_STREAM = toId<StreamName>('config');
