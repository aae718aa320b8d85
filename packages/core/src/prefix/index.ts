/** Keys of prompt blocks, and the index of which upstreams and store VMs hold them. */
export * from './promptBlocks.js';
export * from './cacheEventFeed.js';
export * from './constants.js';
export * from './indexOwnership.js';
export * from './prefixIndex.js';
