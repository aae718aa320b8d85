import type { ClientAccountId, WorkloadId } from '../ids.js';
import type { PoolId } from './usageExchange.js';

/** A request for admission. */
export interface AdmissionRequest {
  readonly poolId: PoolId;
  readonly accountId: ClientAccountId;
  readonly accountWeight: number;
  readonly workloadId: WorkloadId;
  readonly workloadWeight: number;
  /** Priority class within the account; 0 is the highest. */
  readonly priority: number;
  /** Latest start, in monotonic time. */
  readonly deadlineAtMs: number;
  /** Fleet-wide limits of the account. */
  readonly maxRequestsPerSecond?: number | undefined;
  readonly maxConcurrent?: number | undefined;
}

/** Permission to run one request. */
export interface AdmissionPermit {
  /** Releases the slot; later calls have no effect. */
  release(): void;
}

/** A queued request. */
export interface WaitingRequest {
  readonly request: AdmissionRequest;
  readonly arrivedAtMs: number;
  start(): void;
  refuse(error: Error): void;
}
