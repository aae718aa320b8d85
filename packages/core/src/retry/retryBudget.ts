import { RETRY_BUDGET_RESERVE, MAX_RETRY_BUDGET_BALANCE, RETRY_BUDGET_RATIO } from './constants.js';

/**
 * Limits extra attempts to a ratio of traffic: after `n` first attempts, at most
 * `n * RETRY_BUDGET_RATIO + RETRY_BUDGET_RESERVE` have been granted.
 */
export class RetryBudget {
  private balance = RETRY_BUDGET_RESERVE;

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
}
