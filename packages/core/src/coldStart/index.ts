/** Rate limits for recently started upstreams. */
export { ColdStartBudget, computeColdShare } from './coldStartBudget.js';
export type { ColdBound, ColdStartShare, ColdStartShareInput } from './coldStartBudget.js';
