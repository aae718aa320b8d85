import type { AccountState } from './accountState.js';
import type { PoolState } from './poolState.js';

/** Decides which waiting requests may start. */
export abstract class AdmissionPolicy {
  /** Returns how many requests of an account may run concurrently on this VM. */
  abstract countSlots(pool: PoolState, account: AccountState): number;

  /** Compares two accounts with startable requests; the one that sorts first starts first. */
  abstract compareAccounts(pool: PoolState, left: AccountState, right: AccountState): number;

  /** Returns this VM's share of an account's fleet-wide rate limit, in requests per second. */
  abstract computeLocalRatePerSecond(
    pool: PoolState,
    account: AccountState,
    fleetRatePerSecond: number,
  ): number;

  /** Discards shares computed from earlier usage. */
  abstract invalidate(): void;
}
