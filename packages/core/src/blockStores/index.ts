/** KV cache blocks held by the block stores: directory, cache salts and fetch deadlines. */
export { BlockDirectory, buildBlockKey, splitBlockKey } from './blockDirectory.js';
export { buildCacheSalt, parseCacheSalt } from './cacheSalt.js';
export type { CacheNamespace } from './cacheSalt.js';
export { EpochWindow } from './epochWindow.js';
export type { EpochProof } from './epochWindow.js';
export { FETCH_WINDOW_MS, FetchWindow } from './fetchWindow.js';
export type { StoredBlockChange } from './blockDirectory.js';
export { computeFetchTimeMs } from './fetchTime.js';
export type { FetchSize } from './fetchTime.js';
