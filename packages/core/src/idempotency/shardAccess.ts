import type { ClaimRecord, SettlementRecord } from './records.js';
import type { AttemptStatus, ClaimReply, ClaimRequest } from './shardMessages.js';

/** Client for the VM that serves a shard and for the VMs that hold claims. */
export abstract class ShardAccess {
  /** Claims a key; returns `unsettled` if no response arrived. */
  abstract claim(request: ClaimRequest, signal: AbortSignal): Promise<ClaimReply>;

  /** Waits until a claim has an outcome, is released, or the signal aborts. */
  abstract waitForChange(holder: ClaimRecord, signal: AbortSignal): Promise<void>;

  /** Requests that an outcome or a release be appended; rejects unless the append is confirmed. */
  abstract settle(record: SettlementRecord, signal: AbortSignal): Promise<void>;

  /** Queries a claimant for the status of its attempt; returns `gone` if it does not respond. */
  abstract fetchAttemptStatus(holder: ClaimRecord, signal: AbortSignal): Promise<AttemptStatus>;
}
