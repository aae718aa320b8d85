/** Where a request goes. */
export * from './router.js';
