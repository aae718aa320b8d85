import { AdmissionPolicy } from '@goldcrestscale/core';
import type { AccountState, PoolState } from '@goldcrestscale/core';

/** Baseline: first in, first out over all accounts; every VM gets an equal part of the capacity. */
export class FifoAdmissionPolicy extends AdmissionPolicy {
  override countSlots(pool: PoolState, account: AccountState): number {
    const free = Math.round(pool.capacity / pool.peerUsage.vmCount) - pool.running;
    return account.running + Math.max(0, free);
  }

  override compareAccounts(_pool: PoolState, left: AccountState, right: AccountState): number {
    const leftAtMs = left.queues.findNext()?.arrivedAtMs ?? Infinity;
    return leftAtMs - (right.queues.findNext()?.arrivedAtMs ?? Infinity);
  }

  override computeLocalRatePerSecond(
    _pool: PoolState,
    _account: AccountState,
    perSecond: number,
  ): number {
    return perSecond;
  }

  override invalidate(): void {
    // Has no cached state.
  }
}
