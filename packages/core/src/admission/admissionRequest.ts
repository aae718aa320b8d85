import type { ClientAccountId, WorkloadId } from '../ids.js';
import type { PoolId } from './usage.js';

/** A request that asks to run. */
export interface AdmissionRequest {
  readonly poolId: PoolId;
  readonly accountId: ClientAccountId;
  readonly accountWeight: number;
  readonly workloadId: WorkloadId;
  readonly workloadWeight: number;
  /** Priority class among the requests of its account, 0 first. */
  readonly priority: number;
  /** Time by which it must have started, by the runtime's clock. */
  readonly deadlineAtMs: number;
  /** Limits of the account over the whole fleet. */
  readonly maxRequestsPerSecond?: number | undefined;
  readonly maxConcurrent?: number | undefined;
}

/** Right to run one request. */
export interface AdmissionPermit {
  /** Gives the place back; a second call does nothing. */
  release(): void;
}

/** A request that waits for admission. */
export interface WaitingRequest {
  readonly request: AdmissionRequest;
  readonly arrivedAtMs: number;
  start(): void;
  refuse(error: Error): void;
}
