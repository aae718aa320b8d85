import {
  INITIAL_RETRY_BUDGET_BALANCE,
  MAX_RETRY_BUDGET_BALANCE,
  RETRY_BUDGET_RATIO,
} from './constants.js';

/**
 * Limits extra attempts to a ratio of traffic: after `n` first attempts, at most
 * `n * RETRY_BUDGET_RATIO + INITIAL_RETRY_BUDGET_BALANCE` have been granted.
 */
export class RetryBudget {
  private balance = INITIAL_RETRY_BUDGET_BALANCE;

  /** Credits one first attempt. */
  addCredit(): void {
    this.balance = Math.min(MAX_RETRY_BUDGET_BALANCE, this.balance + RETRY_BUDGET_RATIO);
  }

  /** Charges one extra attempt; false if the budget is exhausted. */
  tryCharge(): boolean {
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }

  /** Credits an extra attempt that was charged but not made. */
  withdrawCharge(): void {
    this.balance = Math.min(MAX_RETRY_BUDGET_BALANCE, this.balance + 1);
  }
}
