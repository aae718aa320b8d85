import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import {
  SNAPSHOT_AGE_FRACTION,
  SNAPSHOT_JITTER_FRACTION,
  MAX_RECORDS_AFTER_SNAPSHOT,
} from './constants.js';
import type { TableReplica } from './tableReplica.js';

/** Parameters that determine when a snapshot is due. */
export interface SnapshotPolicy {
  /** Retention of the log, in milliseconds. */
  readonly retentionMs: number;
  /** Jitter factor from 0 to 1 that spreads snapshots across VMs; each VM draws its own. */
  readonly jitter: number;
}

/** Draws a VM's jitter factor; larger factors delay its snapshots. */
export const pickSnapshotJitter = (generator: RandomGenerator): number => uniformFloat64(generator);

/** Whether a VM should write a snapshot now; duplicate snapshots are harmless. */
export const isSnapshotDue = (
  replica: TableReplica,
  policy: SnapshotPolicy,
  nowMs: number,
): boolean => {
  const { latestSnapshot, firstRecordTimeMs, state } = replica;
  if (state.rows.size === 0 && state.deleted.size === 0) return false;
  const sinceMs = latestSnapshot?.timeMs ?? firstRecordTimeMs;
  // If no record was read, the state came from a peer and is not in the log.
  if (sinceMs === undefined) return true;
  const ageFraction = SNAPSHOT_AGE_FRACTION + SNAPSHOT_JITTER_FRACTION * policy.jitter;
  const newRecords = state.nextOffset - (latestSnapshot?.nextOffset ?? 0);
  const newRecordLimit = MAX_RECORDS_AFTER_SNAPSHOT * (1 + policy.jitter);
  return nowMs - sinceMs >= policy.retentionMs * ageFraction || newRecords >= newRecordLimit;
};
