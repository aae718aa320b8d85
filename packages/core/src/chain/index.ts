/** Filters that a request passes in order. */
export { ChainFilter, runChain } from './filter.js';
export type { NextFilter } from './filter.js';
