/** Shares of upstreams that have just started. */
export { ColdStartBudget, computeColdShare } from './coldStartBudget.js';
export type { ColdBound, ColdShare, ColdShareInput } from './coldStartBudget.js';
