import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { SNAPSHOT_AGE_SHARE, SNAPSHOT_JITTER_SHARE, SNAPSHOT_TAIL_RECORDS } from './constants.js';
import type { TableReplica } from './replica.js';

/** What decides whether a snapshot is due. */
export interface SnapshotPolicy {
  /** Time for which the log keeps records, in milliseconds. */
  readonly retentionMs: number;
  /** Share from 0 to 1 that spreads the VMs; each VM draws its own. */
  readonly jitter: number;
}

/** Draws the share by which a VM's snapshots come later than another's. */
export const pickSnapshotJitter = (generator: RandomGenerator): number => uniformFloat64(generator);

/** Tells whether a VM should write a snapshot now; one written twice does no harm. */
export const isSnapshotDue = (
  replica: TableReplica,
  policy: SnapshotPolicy,
  nowMs: number,
): boolean => {
  const { latestSnapshot, firstRecordTimeMs, state } = replica;
  if (state.rows.size === 0 && state.deleted.size === 0) return false;
  const sinceMs = latestSnapshot?.timeMs ?? firstRecordTimeMs;
  // Without any record seen the state came from a peer, and the log holds nothing of it.
  if (sinceMs === undefined) return true;
  const share = SNAPSHOT_AGE_SHARE + SNAPSHOT_JITTER_SHARE * policy.jitter;
  const tail = state.nextOffset - (latestSnapshot?.nextOffset ?? 0);
  const tailLimit = SNAPSHOT_TAIL_RECORDS * (1 + policy.jitter);
  return nowMs - sinceMs >= policy.retentionMs * share || tail >= tailLimit;
};
