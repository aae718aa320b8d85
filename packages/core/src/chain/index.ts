/** Request filter chain. */
export { ChainFilter, runChain } from './filter.js';
export type { NextFilter } from './filter.js';
