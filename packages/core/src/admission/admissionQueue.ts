import { createRefusal } from '../errors.js';
import type { GoldcrestErrorInstance } from '../errors.js';
import { AccountState } from './accountState.js';
import type { AdmissionPolicy } from './admissionPolicy.js';
import type { AdmissionPermit, AdmissionRequest, WaitingRequest } from './admissionRequest.js';
import {
  WAIT_ESTIMATE_TOLERANCE_FACTOR,
  MAX_WAITING_REQUESTS_PER_ACCOUNT,
  WAITING_REQUESTS_SWEEP_INTERVAL_MS,
} from './constants.js';
import { estimateWaitMs, clampRetryAfterMs } from './waitEstimate.js';
import { PoolState } from './poolState.js';
import type { AccountUsage, PoolId, UsageExchange } from './usageExchange.js';

/** Dependencies of an admission queue. */
export interface AdmissionQueueOptions {
  readonly policy: AdmissionPolicy;
  readonly usageExchange: UsageExchange;
  /** Returns how many requests the upstreams of a pool can run concurrently, across the fleet. */
  countCapacity(poolId: PoolId): number;
}

const createOverloadRefusal = (retryAfterMs: number): GoldcrestErrorInstance =>
  createRefusal('The request could not start before its deadline.', {
    code: 'overloaded',
    status: 503,
    retryAfterMs: clampRetryAfterMs(retryAfterMs),
  });

const createRateLimitRefusal = (retryAfterMs: number): GoldcrestErrorInstance =>
  createRefusal("The client account's limit of requests a second is reached.", {
    code: 'over_limit',
    status: 429,
    retryAfterMs: clampRetryAfterMs(retryAfterMs),
  });

const refuseWaitingRequest = (
  account: AccountState,
  waitingRequest: WaitingRequest,
  error: Error,
): void => {
  account.queues.remove(waitingRequest);
  waitingRequest.refuse(error);
};

const hasExpired = ({ request }: WaitingRequest): boolean =>
  request.deadlineAtMs <= performance.now();

const getOrCreateAccount = (pool: PoolState, request: AdmissionRequest): AccountState => {
  const existing = pool.accounts.get(request.accountId);
  if (existing) return existing;
  const account = new AccountState(request);
  pool.accounts.set(request.accountId, account);
  return account;
};

/** Admits, queues or refuses the requests of one VM. */
export class AdmissionQueue {
  private readonly pools = new Map<PoolId, PoolState>();

  private sweepTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: AdmissionQueueOptions) {}

  /**
   * Waits until a request may run.
   *
   * @throws GoldcrestError as soon as the request is estimated not to start before its deadline
   */
  acquire(request: AdmissionRequest, signal: AbortSignal): Promise<AdmissionPermit> {
    if (signal.aborted) return Promise.reject(createOverloadRefusal(0));
    const pool = this.getOrCreatePool(request.poolId);
    const account = getOrCreateAccount(pool, request);
    if (account.demand === 0) this.options.policy.invalidate();
    account.recordArrival(request);
    const refusal = this.checkRateLimit(pool, account, request);
    if (refusal) return Promise.reject(refusal);
    return this.enqueue(pool, account, request, signal);
  }

  /** Returns the usage of the active accounts and marks it as reported to the other VMs. */
  reportUsage(): readonly AccountUsage[] {
    const usage: AccountUsage[] = [];
    this.pools.forEach((pool) => {
      pool.accounts.forEach((account, accountId) => {
        account.markDemandReported();
        if (account.isIdle) pool.accounts.delete(accountId);
        else usage.push(account.describeUsage(pool.poolId));
      });
    });
    this.options.policy.invalidate();
    return usage;
  }

  /** Starts the requests that may start now; call it after every change of usage or capacity. */
  drain(): void {
    this.options.policy.invalidate();
    this.pools.forEach((pool) => this.drainPool(pool));
  }

  /** Returns the state served at `/state`, by client account. */
  dump(): unknown {
    return [...this.pools.values()].map((pool) => ({
      poolId: pool.poolId,
      capacity: pool.capacity,
      serviceMs: pool.averageServiceTimeMs,
      accounts: [...pool.accounts.values()].map((account) => ({
        ...account.describeUsage(pool.poolId),
        slots: this.options.policy.countSlots(pool, account),
      })),
    }));
  }

  private enqueue(
    pool: PoolState,
    account: AccountState,
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<AdmissionPermit> {
    return new Promise((resolve, reject) => {
      const waitingRequest: WaitingRequest = {
        request,
        arrivedAtMs: Date.now(),
        start: () => {
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual reference
          signal.removeEventListener('abort', refuseOnAbort);
          resolve(this.createPermit(pool, account));
        },
        refuse: (error) => {
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual reference
          signal.removeEventListener('abort', refuseOnAbort);
          reject(error);
        },
      };
      const refuseOnAbort = (): void =>
        refuseWaitingRequest(account, waitingRequest, createOverloadRefusal(0));
      signal.addEventListener('abort', refuseOnAbort, { once: true });
      const requestsAhead = account.queues.countAhead(request.priority);
      account.queues.add(waitingRequest);
      this.drainPool(pool);
      if (account.queues.size > 0) this.refuseIfLate(pool, account, waitingRequest, requestsAhead);
    });
  }

  /** Refuses a new request if the queue is full or its estimated wait exceeds its deadline. */
  private refuseIfLate(
    pool: PoolState,
    account: AccountState,
    waitingRequest: WaitingRequest,
    requestsAhead: number,
  ): void {
    if (!account.queues.has(waitingRequest)) return;
    const slots = this.options.policy.countSlots(pool, account);
    const waitMs = estimateWaitMs(pool, account, slots, requestsAhead);
    const remainingMs = waitingRequest.request.deadlineAtMs - performance.now();
    const isQueueFull = account.queues.size > MAX_WAITING_REQUESTS_PER_ACCOUNT;
    if (waitMs > remainingMs || isQueueFull) {
      refuseWaitingRequest(
        account,
        waitingRequest,
        createOverloadRefusal(isQueueFull ? waitMs : waitMs - remainingMs),
      );
    } else {
      this.scheduleSweep();
    }
  }

  private createPermit(pool: PoolState, account: AccountState): AdmissionPermit {
    const startedAtMs = Date.now();
    let isReleased = false;
    return {
      release: () => {
        if (isReleased) return;
        isReleased = true;
        account.finishRequest();
        pool.recordServiceTime(Date.now() - startedAtMs);
        this.drainPool(pool);
      },
    };
  }

  private drainPool(pool: PoolState): void {
    const { policy } = this.options;
    for (;;) {
      const [best] = pool
        .listWaitingAccounts()
        .filter((account) => account.running < policy.countSlots(pool, account))
        .sort((left, right) => policy.compareAccounts(pool, left, right));
      if (!best) return;
      const next = best.queues.findNext();
      if (next && hasExpired(next)) refuseWaitingRequest(best, next, createOverloadRefusal(0));
      else best.startNextRequest();
    }
  }

  private checkRateLimit(
    pool: PoolState,
    account: AccountState,
    { maxRequestsPerSecond }: AdmissionRequest,
  ): GoldcrestErrorInstance | undefined {
    if (maxRequestsPerSecond === undefined) return undefined;
    const localRatePerSecond = this.options.policy.computeLocalRatePerSecond(
      pool,
      account,
      maxRequestsPerSecond,
    );
    const waitMs = account.takeRateToken(localRatePerSecond);
    return waitMs > 0 ? createRateLimitRefusal(waitMs) : undefined;
  }

  private scheduleSweep(): void {
    this.sweepTimer ??= setTimeout(() => {
      this.sweepTimer = undefined;
      this.sweepWaitingRequests();
    }, WAITING_REQUESTS_SWEEP_INTERVAL_MS);
    this.sweepTimer.unref?.();
  }

  /** Refuses waiting requests that can no longer start before their deadline. */
  private sweepWaitingRequests(): void {
    let waitingCount = 0;
    this.pools.forEach((pool) => {
      this.drainPool(pool);
      pool.listWaitingAccounts().forEach((account) => {
        this.refuseLateRequests(pool, account);
        waitingCount += account.queues.size;
      });
    });
    if (waitingCount > 0) this.scheduleSweep();
  }

  private refuseLateRequests(pool: PoolState, account: AccountState): void {
    const slots = this.options.policy.countSlots(pool, account);
    let requestsAhead = 0;
    account.queues.list().forEach((waitingRequest) => {
      const remainingMs = waitingRequest.request.deadlineAtMs - performance.now();
      const waitMs = estimateWaitMs(pool, account, slots, requestsAhead);
      if (remainingMs <= 0 || waitMs > remainingMs * WAIT_ESTIMATE_TOLERANCE_FACTOR) {
        refuseWaitingRequest(account, waitingRequest, createOverloadRefusal(waitMs));
      } else {
        requestsAhead += 1;
      }
    });
  }

  private getOrCreatePool(poolId: PoolId): PoolState {
    const { countCapacity, usageExchange: exchange } = this.options;
    const existing = this.pools.get(poolId);
    if (existing) return existing;
    const pool = new PoolState(
      poolId,
      () => countCapacity(poolId),
      () => exchange.getPeerUsage(),
    );
    this.pools.set(poolId, pool);
    return pool;
  }
}
