import type { ClientAccountId } from '../ids.js';
import { ACCOUNT_IDLE_MS, OFFERED_RATE_MS, RATE_BURST_MS } from './constants.js';
import type { AdmissionRequest } from './admissionRequest.js';
import type { AccountUsage, PoolId } from './usage.js';
import { WorkloadQueues } from './workloadQueues.js';

const MS_PER_SECOND = 1_000;

/** What one account has running and waiting in one pool at this VM. */
export class AccountState {
  readonly accountId: ClientAccountId;

  readonly queues = new WorkloadQueues();

  weight: number;

  maxConcurrent: number | undefined;

  private runningCount = 0;

  private published = 0;

  /** Requests that the saved-up rate lets start. */
  private rateTokens: number | undefined;

  private rateUpdatedAtMs = Date.now();

  private offered = 0;

  private offeredAtMs = Date.now();

  constructor(request: AdmissionRequest) {
    this.accountId = request.accountId;
    this.weight = request.accountWeight;
    this.maxConcurrent = request.maxConcurrent;
  }

  get running(): number {
    return this.runningCount;
  }

  /** Demand that the other VMs have been told of. */
  get publishedDemand(): number {
    return this.published;
  }

  get demand(): number {
    return this.running + this.queues.size;
  }

  get isIdle(): boolean {
    return this.demand === 0 && Date.now() - this.offeredAtMs > ACCOUNT_IDLE_MS;
  }

  /** Takes over what the table says of the account, and counts the request as offered. */
  noteArrival(request: AdmissionRequest): void {
    this.weight = request.accountWeight;
    this.maxConcurrent = request.maxConcurrent;
    this.offered = this.computeOffered() + MS_PER_SECOND / OFFERED_RATE_MS;
    this.offeredAtMs = Date.now();
  }

  /** Gives the rate of offered requests a second, over the last seconds. */
  computeOffered(): number {
    return this.offered * Math.exp(-(Date.now() - this.offeredAtMs) / OFFERED_RATE_MS);
  }

  /** Starts the waiting request that is next. */
  startNext(): void {
    this.runningCount += 1;
    this.queues.takeNext()?.start();
  }

  finishOne(): void {
    this.runningCount -= 1;
  }

  /** Notes that the other VMs are told of the present demand. */
  publishDemand(): void {
    this.published = this.demand;
  }

  /**
   * Takes one request off the saved-up rate.
   *
   * @returns the wait until the next one, in milliseconds; 0 where the request may go on
   */
  takeRate(perSecond: number): number {
    const burst = Math.max(1, (perSecond * RATE_BURST_MS) / MS_PER_SECOND);
    const added = (perSecond * (Date.now() - this.rateUpdatedAtMs)) / MS_PER_SECOND;
    const tokens = Math.min(burst, (this.rateTokens ?? burst) + added);
    this.rateUpdatedAtMs = Date.now();
    this.rateTokens = tokens >= 1 ? tokens - 1 : tokens;
    return tokens >= 1 ? 0 : ((1 - tokens) / perSecond) * MS_PER_SECOND;
  }

  /** Gives the usage for the other VMs. */
  describeUsage(poolId: PoolId): AccountUsage {
    return {
      poolId,
      accountId: this.accountId,
      weight: this.weight,
      running: this.running,
      waiting: this.queues.size,
      offeredPerSecond: this.computeOffered(),
    };
  }
}
