/** Where a request goes. */
export * from './router.js';
export * from './leastLoadRouter.js';
