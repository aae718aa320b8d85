/** Blocks in the stores beside the engines. */
export { BlockDirectory, buildBlockKey, splitBlockKey } from './blockDirectory.js';
export { buildCacheSalt, parseCacheSalt } from './cacheSalt.js';
export type { CacheIdentity } from './cacheSalt.js';
export { FETCH_HORIZON_MS, FetchHorizon } from './fetchHorizon.js';
export type { StoredBlockChange } from './blockDirectory.js';
export { computeFetchTime } from './fetchTime.js';
export type { FetchSize } from './fetchTime.js';
