/** Selection of the upstream for a request. */
export * from './constants.js';
export * from './eligibility.js';
export * from './estimate.js';
export * from './importPlan.js';
export * from './leastTimeRouter.js';
export * from './router.js';
export * from './leastLoadRouter.js';
export * from './upstreamPool.js';
