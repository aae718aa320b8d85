/** KV cache blocks held by the block stores: directory, cache salts and fetch deadlines. */
export { BlockDirectory, buildBlockKey, splitBlockKey } from './blockDirectory.js';
export { buildCacheSalt, parseCacheSalt } from './cacheSalt.js';
export type { CacheNamespace } from './cacheSalt.js';
export { EpochWindow } from './epochWindow.js';
export type { EpochProof } from './epochWindow.js';
export { CLOCK_DRIFT_MARGIN_MS, FETCH_WINDOW_MS, MAX_SAVE_AGE_MS } from './constants.js';
export { FetchWindow } from './fetchWindow.js';
export type { StoredBlockChange } from './blockDirectory.js';
export { computeFetchTimeMs } from './fetchTime.js';
export type { FetchSize } from './fetchTime.js';
