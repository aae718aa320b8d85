/** Decisions on attempts beyond the first: retries and hedges. */
export { BudgetedRetryPolicy } from './budgetedRetryPolicy.js';
export { MAX_ATTEMPTS, RETRY_RESERVE, RETRY_SHARE } from './constants.js';
export { HedgeDelay } from './hedgeDelay.js';
export { RetryBudget } from './retryBudget.js';
export { RetryPolicy } from './retryPolicy.js';
export type { RetryDecision, RetryQuery, RetryRefusal } from './retryPolicy.js';
export { FleetRetryBudget } from './fleetRetryBudget.js';
export type { RetryBound } from './fleetRetryBudget.js';
