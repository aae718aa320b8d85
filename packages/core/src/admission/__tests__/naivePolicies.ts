import type { AccountState } from '../accountState.js';
import { AdmissionPolicy } from '../admissionPolicy.js';
import type { PoolState } from '../poolState.js';

const getArrival = (account: AccountState): number =>
  account.queues.findNext()?.arrivedAtMs ?? Infinity;

/** Serves in the order of arrival, whoever asks; each VM has an even part of the capacity. */
export class FifoPolicy extends AdmissionPolicy {
  override countSlots(pool: PoolState, account: AccountState): number {
    const free = Math.round(pool.capacity / pool.others.vmCount) - pool.running;
    return account.running + Math.max(0, free);
  }

  override compareAccounts(_pool: PoolState, left: AccountState, right: AccountState): number {
    return getArrival(left) - getArrival(right);
  }

  override computeRate(_pool: PoolState, _account: AccountState, perSecond: number): number {
    return perSecond;
  }

  override invalidate(): void {
    // Keeps nothing.
  }
}

/** Splits the capacity evenly over VMs and accounts, used or not. */
export class StaticSplitPolicy extends FifoPolicy {
  constructor(private readonly accountCount: number) {
    super();
  }

  override countSlots(pool: PoolState): number {
    return Math.max(1, Math.floor(pool.capacity / pool.others.vmCount / this.accountCount));
  }

  override computeRate(pool: PoolState, _account: AccountState, perSecond: number): number {
    return perSecond / pool.others.vmCount;
  }
}
