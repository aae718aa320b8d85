/** Identity of prompt blocks and the index of who holds them. */
export * from './blockChain.js';
export * from './cacheEvents.js';
export * from './constants.js';
export * from './ownership.js';
export * from './prefixIndex.js';
