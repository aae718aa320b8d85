import { createRefusal } from '../errors.js';
import type { GoldcrestErrorInstance } from '../errors.js';
import { AccountState } from './accountState.js';
import type { AdmissionPolicy } from './admissionPolicy.js';
import type { AdmissionPermit, AdmissionRequest, WaitingRequest } from './admissionRequest.js';
import { ESTIMATE_TOLERANCE, MAX_WAITING_PER_ACCOUNT, SWEEP_INTERVAL_MS } from './constants.js';
import { estimateWaitMs, normalizeRetryAfter } from './drainEstimate.js';
import { PoolState } from './poolState.js';
import type { AccountUsage, PoolId, UsageExchange } from './usage.js';

/** What an admission queue needs. */
export interface AdmissionQueueOptions {
  readonly policy: AdmissionPolicy;
  readonly exchange: UsageExchange;
  /** Counts the requests that the upstreams of a pool bear at once, over the whole fleet. */
  countCapacity(poolId: PoolId): number;
}

const refuseOverload = (retryAfterMs: number): GoldcrestErrorInstance =>
  createRefusal('The request could not start before its deadline.', {
    code: 'overloaded',
    status: 503,
    retryAfterMs: normalizeRetryAfter(retryAfterMs),
  });

const refuseRate = (retryAfterMs: number): GoldcrestErrorInstance =>
  createRefusal("The client account's limit of requests a second is reached.", {
    code: 'over_limit',
    status: 429,
    retryAfterMs: normalizeRetryAfter(retryAfterMs),
  });

const refuse = (account: AccountState, entry: WaitingRequest, error: Error): void => {
  account.queues.remove(entry);
  entry.refuse(error);
};

const getAccount = (pool: PoolState, request: AdmissionRequest): AccountState => {
  const known = pool.accounts.get(request.accountId);
  if (known) return known;
  const account = new AccountState(request);
  pool.accounts.set(request.accountId, account);
  return account;
};

/** Lets requests run, wait or be refused at one VM. */
export class AdmissionQueue {
  private readonly pools = new Map<PoolId, PoolState>();

  private sweepTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: AdmissionQueueOptions) {}

  /**
   * Waits until a request may run.
   *
   * @throws GoldcrestError as soon as the request can't start before its deadline
   */
  acquire(request: AdmissionRequest, signal: AbortSignal): Promise<AdmissionPermit> {
    const pool = this.getPool(request.poolId);
    const account = getAccount(pool, request);
    if (account.demand === 0) this.options.policy.invalidate();
    account.noteArrival(request);
    const refusal = this.findRateRefusal(pool, account, request);
    if (refusal) return Promise.reject(refusal);
    return this.enqueue(pool, account, request, signal);
  }

  /** Lists the usage of the active accounts, and counts it as told to the other VMs. */
  publishUsage(): readonly AccountUsage[] {
    const usage: AccountUsage[] = [];
    this.pools.forEach((pool) => {
      pool.accounts.forEach((account, accountId) => {
        account.publishDemand();
        if (account.isIdle) pool.accounts.delete(accountId);
        else usage.push(account.describeUsage(pool.poolId));
      });
    });
    this.options.policy.invalidate();
    return usage;
  }

  /** Starts what may start now; called after every change of usage or capacity. */
  drain(): void {
    this.options.policy.invalidate();
    this.pools.forEach((pool) => this.drainPool(pool));
  }

  /** Gives the state for `/state`, by client account. */
  dump(): unknown {
    return [...this.pools.values()].map((pool) => ({
      poolId: pool.poolId,
      capacity: pool.capacity,
      serviceMs: pool.serviceMs,
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
      const entry: WaitingRequest = {
        request,
        arrivedAtMs: Date.now(),
        start: () => {
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each ends the other
          signal.removeEventListener('abort', cancel);
          resolve(this.createPermit(pool, account));
        },
        refuse: (error) => {
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each ends the other
          signal.removeEventListener('abort', cancel);
          reject(error);
        },
      };
      const cancel = (): void => refuse(account, entry, refuseOverload(0));
      signal.addEventListener('abort', cancel, { once: true });
      const ahead = account.queues.countAhead(request.priority);
      account.queues.add(entry);
      this.drainPool(pool);
      if (account.queues.size > 0) this.checkArrival(pool, account, entry, ahead);
    });
  }

  /** Refuses a request that has not started and can't in time. */
  private checkArrival(
    pool: PoolState,
    account: AccountState,
    entry: WaitingRequest,
    ahead: number,
  ): void {
    if (!account.queues.has(entry)) return;
    const slots = this.options.policy.countSlots(pool, account);
    const waitMs = estimateWaitMs(pool, account, slots, ahead);
    const allowedMs = entry.request.deadlineAtMs - Date.now();
    const isFull = account.queues.size > MAX_WAITING_PER_ACCOUNT;
    if (waitMs > allowedMs || isFull) {
      refuse(account, entry, refuseOverload(isFull ? waitMs : waitMs - allowedMs));
    } else {
      this.scheduleSweep();
    }
  }

  private createPermit(pool: PoolState, account: AccountState): AdmissionPermit {
    const startedAtMs = Date.now();
    let released = false;
    return {
      release: () => {
        if (released) return;
        released = true;
        account.finishOne();
        pool.observeService(Date.now() - startedAtMs);
        this.drainPool(pool);
      },
    };
  }

  private drainPool(pool: PoolState): void {
    const { policy } = this.options;
    for (;;) {
      const [best] = pool
        .listWaiting()
        .filter((account) => account.running < policy.countSlots(pool, account))
        .sort((left, right) => policy.compareAccounts(pool, left, right));
      if (!best) return;
      best.startNext();
    }
  }

  private findRateRefusal(
    pool: PoolState,
    account: AccountState,
    { maxRequestsPerSecond }: AdmissionRequest,
  ): GoldcrestErrorInstance | undefined {
    if (maxRequestsPerSecond === undefined) return undefined;
    const rate = this.options.policy.computeRate(pool, account, maxRequestsPerSecond);
    const waitMs = account.takeRate(rate);
    return waitMs > 0 ? refuseRate(waitMs) : undefined;
  }

  private scheduleSweep(): void {
    this.sweepTimer ??= setTimeout(() => {
      this.sweepTimer = undefined;
      this.sweep();
    }, SWEEP_INTERVAL_MS);
    this.sweepTimer.unref?.();
  }

  /** Refuses the waiting requests whose deadline can no longer be met. */
  private sweep(): void {
    let waiting = 0;
    this.pools.forEach((pool) => {
      this.drainPool(pool);
      pool.listWaiting().forEach((account) => {
        this.sweepAccount(pool, account);
        waiting += account.queues.size;
      });
    });
    if (waiting > 0) this.scheduleSweep();
  }

  private sweepAccount(pool: PoolState, account: AccountState): void {
    const slots = this.options.policy.countSlots(pool, account);
    let ahead = 0;
    account.queues.list().forEach((entry) => {
      const allowedMs = entry.request.deadlineAtMs - Date.now();
      const waitMs = estimateWaitMs(pool, account, slots, ahead);
      if (allowedMs <= 0 || waitMs > allowedMs * ESTIMATE_TOLERANCE) {
        refuse(account, entry, refuseOverload(waitMs));
      } else {
        ahead += 1;
      }
    });
  }

  private getPool(poolId: PoolId): PoolState {
    const { countCapacity, exchange } = this.options;
    const known = this.pools.get(poolId);
    if (known) return known;
    const pool = new PoolState(
      poolId,
      () => countCapacity(poolId),
      () => exchange.getOthers(),
    );
    this.pools.set(poolId, pool);
    return pool;
  }
}
