/** Policies and budgets for retries and hedged requests. */
export { BudgetedRetryPolicy } from './budgetedRetryPolicy.js';
export { MAX_ATTEMPTS, INITIAL_RETRY_BUDGET_BALANCE, RETRY_BUDGET_RATIO } from './constants.js';
export { HedgeDelay } from './hedgeDelay.js';
export { RetryBudget } from './retryBudget.js';
export { RetryPolicy } from './retryPolicy.js';
export type { RetryDecision, RetryQuery, RetryRefusal } from './retryPolicy.js';
export { FleetRetryBudget } from './fleetRetryBudget.js';
export type { FleetRetryLimit } from './fleetRetryBudget.js';
