import type { AccountState } from '../accountState.js';
import { AdmissionPolicy } from '../admissionPolicy.js';
import type { PoolState } from '../poolState.js';

const getArrivalMs = (account: AccountState): number =>
  account.queues.findNext()?.arrivedAtMs ?? Infinity;

/** First come, first served regardless of account; the capacity is split evenly over the VMs. */
export class FifoPolicy extends AdmissionPolicy {
  override countSlots(pool: PoolState, account: AccountState): number {
    const free = Math.round(pool.capacity / pool.peerUsage.vmCount) - pool.running;
    return account.running + Math.max(0, free);
  }

  override compareAccounts(_pool: PoolState, left: AccountState, right: AccountState): number {
    return getArrivalMs(left) - getArrivalMs(right);
  }

  override computeLocalRatePerSecond(
    _pool: PoolState,
    _account: AccountState,
    fleetRatePerSecond: number,
  ): number {
    return fleetRatePerSecond;
  }

  override invalidate(): void {
    // Stateless.
  }
}

/** Splits the capacity statically and evenly over VMs and accounts. */
export class StaticSplitPolicy extends FifoPolicy {
  constructor(private readonly accountCount: number) {
    super();
  }

  override countSlots(pool: PoolState): number {
    return Math.max(1, Math.floor(pool.capacity / pool.peerUsage.vmCount / this.accountCount));
  }

  override computeLocalRatePerSecond(
    pool: PoolState,
    _account: AccountState,
    fleetRatePerSecond: number,
  ): number {
    return fleetRatePerSecond / pool.peerUsage.vmCount;
  }
}
