/** Keys of prompt blocks, and the index of which upstreams and store VMs hold them. */
export * from './blockChain.js';
export * from './cacheEvents.js';
export * from './constants.js';
export * from './ownership.js';
export * from './prefixIndex.js';
