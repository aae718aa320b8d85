import type { ClaimRecord, SettlementRecord } from './records.js';
import type { AttemptStatus, ClaimReply, ClaimRequest } from './shardMessages.js';

/** Reaches the VM that serves a shard, and the VMs that hold claims. */
export abstract class ShardAccess {
  /** Claims a key; `unsettled` where an answer did not come. */
  abstract claim(request: ClaimRequest, signal: AbortSignal): Promise<ClaimReply>;

  /** Waits until a claim has an outcome or is released, or the signal aborts. */
  abstract waitForChange(holder: ClaimRecord, signal: AbortSignal): Promise<void>;

  /** Has an outcome or a release appended; rejects where that is not known. */
  abstract settle(record: SettlementRecord, signal: AbortSignal): Promise<void>;

  /** Asks a claimant for the state of its attempt; `gone` where it does not answer. */
  abstract askClaimant(holder: ClaimRecord, signal: AbortSignal): Promise<AttemptStatus>;
}
