import type { ClientAccountId } from '../ids.js';
import type { AccountState } from './accountState.js';
import { SERVICE_TIME_GAIN } from './constants.js';
import type { OthersUsage, PoolId } from './usage.js';

/** Requests of one pool at this VM. */
export class PoolState {
  readonly accounts = new Map<ClientAccountId, AccountState>();

  private averageServiceMs: number | undefined;

  constructor(
    readonly poolId: PoolId,
    private readonly countCapacity: () => number,
    private readonly readOthers: () => OthersUsage,
  ) {}

  /** Requests that the upstreams of the pool bear at once, over the whole fleet. */
  get capacity(): number {
    return this.countCapacity();
  }

  get others(): OthersUsage {
    return this.readOthers();
  }

  /** Average time for which a request holds its place, in milliseconds; undefined before the first. */
  get serviceMs(): number | undefined {
    return this.averageServiceMs;
  }

  get running(): number {
    let running = 0;
    this.accounts.forEach((account) => {
      running += account.running;
    });
    return running;
  }

  /** Lists the accounts with waiting requests. */
  listWaiting(): readonly AccountState[] {
    return [...this.accounts.values()].filter((account) => account.queues.size > 0);
  }

  observeService(elapsedMs: number): void {
    const known = this.averageServiceMs ?? elapsedMs;
    this.averageServiceMs = known + SERVICE_TIME_GAIN * (elapsedMs - known);
  }
}
