import type { ClientAccountId } from '../ids.js';
import { ACCOUNT_IDLE_TIMEOUT_MS, RATE_DECAY_MS, RATE_BURST_WINDOW_MS } from './constants.js';
import type { AdmissionRequest } from './admissionRequest.js';
import type { AccountUsage, PoolId } from './usageExchange.js';
import { WorkloadQueues } from './workloadQueues.js';

const MS_PER_SECOND = 1_000;

/** Running and waiting requests of one client account in one pool on this VM. */
export class AccountState {
  readonly accountId: ClientAccountId;

  readonly queues = new WorkloadQueues();

  weight: number;

  maxConcurrent: number | undefined;

  private runningRequests = 0;

  private lastReportedDemand = 0;

  /** Tokens in the rate-limit bucket; each admits one request. */
  private rateTokens: number | undefined;

  private rateUpdatedAtMs = Date.now();

  private offeredPerSecond = 0;

  private lastArrivalAtMs = Date.now();

  constructor(request: AdmissionRequest) {
    this.accountId = request.accountId;
    this.weight = request.accountWeight;
    this.maxConcurrent = request.maxConcurrent;
  }

  get running(): number {
    return this.runningRequests;
  }

  /** Demand in the last usage report sent to the other VMs. */
  get reportedDemand(): number {
    return this.lastReportedDemand;
  }

  get demand(): number {
    return this.running + this.queues.size;
  }

  get isIdle(): boolean {
    return this.demand === 0 && Date.now() - this.lastArrivalAtMs > ACCOUNT_IDLE_TIMEOUT_MS;
  }

  /**
   * Applies the account's current weight and limit, and counts the request towards the offered
   * rate.
   */
  recordArrival(request: AdmissionRequest): void {
    this.weight = request.accountWeight;
    this.maxConcurrent = request.maxConcurrent;
    this.offeredPerSecond = this.computeOfferedPerSecond() + MS_PER_SECOND / RATE_DECAY_MS;
    this.lastArrivalAtMs = Date.now();
  }

  /** Returns the exponentially decayed rate of offered requests, per second. */
  computeOfferedPerSecond(): number {
    return this.offeredPerSecond * Math.exp(-(Date.now() - this.lastArrivalAtMs) / RATE_DECAY_MS);
  }

  /** Starts the next waiting request. */
  startNextRequest(): void {
    this.runningRequests += 1;
    this.queues.takeNext()?.start();
  }

  finishRequest(): void {
    this.runningRequests -= 1;
  }

  /** Marks the current demand as reported to the other VMs. */
  markDemandReported(): void {
    this.lastReportedDemand = this.demand;
  }

  /**
   * Takes one token from the rate-limit bucket.
   *
   * @returns 0 if a token was taken, otherwise the time until one is available, in milliseconds
   */
  takeRateToken(requestsPerSecond: number): number {
    const maxTokens = Math.max(1, (requestsPerSecond * RATE_BURST_WINDOW_MS) / MS_PER_SECOND);
    const addedTokens = (requestsPerSecond * (Date.now() - this.rateUpdatedAtMs)) / MS_PER_SECOND;
    const tokens = Math.min(maxTokens, (this.rateTokens ?? maxTokens) + addedTokens);
    this.rateUpdatedAtMs = Date.now();
    this.rateTokens = tokens >= 1 ? tokens - 1 : tokens;
    return tokens >= 1 ? 0 : ((1 - tokens) / requestsPerSecond) * MS_PER_SECOND;
  }

  /** Returns the usage to report to the other VMs. */
  describeUsage(poolId: PoolId): AccountUsage {
    return {
      poolId,
      accountId: this.accountId,
      weight: this.weight,
      running: this.running,
      waiting: this.queues.size,
      offeredPerSecond: this.computeOfferedPerSecond(),
    };
  }
}
