/** Stand-in for the weight store. */
export * from './weightStoreRole.js';
