/** Rate limits for recently started upstreams. */
export { ColdStartBudget, computeColdStartShare } from './coldStartBudget.js';
export type { ColdStartLimit, ColdStartShare, ColdStartShareInput } from './coldStartBudget.js';
