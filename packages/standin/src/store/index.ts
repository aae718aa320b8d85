/** Stand-in for a store VM. */
export * from './storeRole.js';
export * from './storeSettings.js';
