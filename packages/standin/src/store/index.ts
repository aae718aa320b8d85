/** Store VM. */
export * from './storeRole.js';
export * from './storeSettings.js';
