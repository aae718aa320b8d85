/** Request filter chain. */
export { ChainFilter, runChain } from './filterChain.js';
export type { NextFilter } from './filterChain.js';
