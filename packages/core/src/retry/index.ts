/** Policies and budgets for retries and hedged requests. */
export { canHaveArrived } from './arrival.js';
export type { SendEnd } from './arrival.js';
export { BudgetedRetryPolicy } from './budgetedRetryPolicy.js';
export {
  MAX_ATTEMPTS,
  MAX_UNREACHED_TRIES,
  MAX_UNREACHED_TRIES_PER_SECOND,
  INITIAL_RETRY_BUDGET_BALANCE,
  RETRY_BUDGET_RATIO,
} from './constants.js';
export { HedgeDelay } from './hedgeDelay.js';
export { RetryBudget } from './retryBudget.js';
export { RetryPolicy } from './retryPolicy.js';
export type { RetryDecision, RetryQuery, RetryRefusal } from './retryPolicy.js';
export { FleetRetryBudget } from './fleetRetryBudget.js';
export type { FleetRetryLimit } from './fleetRetryBudget.js';
export { SendCounts } from './sendCounts.js';
export { UnreachedTries } from './unreachedTries.js';
