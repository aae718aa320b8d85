import type { ClientAccountId } from '../ids.js';
import type { AccountState } from './accountState.js';
import { SERVICE_TIME_EWMA_WEIGHT } from './constants.js';
import type { PeerUsage, PoolId } from './usageExchange.js';

/** Admission state of one pool on this VM. */
export class PoolState {
  readonly accounts = new Map<ClientAccountId, AccountState>();

  private serviceTimeEwmaMs: number | undefined;

  constructor(
    readonly poolId: PoolId,
    private readonly countCapacity: () => number,
    private readonly readPeerUsage: () => PeerUsage,
  ) {}

  /** Number of requests that the upstreams of the pool can run concurrently, across the fleet. */
  get capacity(): number {
    return this.countCapacity();
  }

  get peerUsage(): PeerUsage {
    return this.readPeerUsage();
  }

  /**
   * Average time for which a request holds a slot, in milliseconds; undefined before the first
   * sample.
   */
  get averageServiceTimeMs(): number | undefined {
    return this.serviceTimeEwmaMs;
  }

  get running(): number {
    let running = 0;
    this.accounts.forEach((account) => {
      running += account.running;
    });
    return running;
  }

  /** Lists the accounts with waiting requests. */
  listWaitingAccounts(): readonly AccountState[] {
    return [...this.accounts.values()].filter((account) => account.queues.size > 0);
  }

  recordServiceTime(serviceTimeMs: number): void {
    const averageMs = this.serviceTimeEwmaMs ?? serviceTimeMs;
    this.serviceTimeEwmaMs = averageMs + SERVICE_TIME_EWMA_WEIGHT * (serviceTimeMs - averageMs);
  }
}
