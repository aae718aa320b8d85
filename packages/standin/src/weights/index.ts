/** Weight store. */
export * from './weightStoreRole.js';
