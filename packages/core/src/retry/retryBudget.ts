import { RETRY_RESERVE, RETRY_SAVED_MAX, RETRY_SHARE } from './constants.js';

/**
 * Bounds extra attempts to a share of traffic: after `n` first attempts at most
 * `n * RETRY_SHARE + RETRY_RESERVE` have been granted.
 */
export class RetryBudget {
  private balance = RETRY_RESERVE;

  /** Adds what one first attempt pays for. */
  add(): void {
    this.balance = Math.min(RETRY_SAVED_MAX, this.balance + RETRY_SHARE);
  }

  /** Charges one extra attempt; false where the budget is spent. */
  tryCharge(): boolean {
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}
