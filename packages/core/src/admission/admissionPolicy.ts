import type { AccountState } from './accountState.js';
import type { PoolState } from './poolState.js';

/** Decides who runs now. */
export abstract class AdmissionPolicy {
  /** Counts the requests of an account that this VM may run at once. */
  abstract countSlots(pool: PoolState, account: AccountState): number;

  /** Orders two accounts that both wait and may both start; the lesser starts first. */
  abstract compareAccounts(pool: PoolState, left: AccountState, right: AccountState): number;

  /** Gives this VM's part of an account's limit on requests a second. */
  abstract computeRate(pool: PoolState, account: AccountState, perSecond: number): number;

  /** Drops what was computed from earlier usage. */
  abstract invalidate(): void;
}
