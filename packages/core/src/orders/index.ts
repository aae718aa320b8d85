/** Orders to engines: which weights to load, and when. */
export * from './constants.js';
export * from './leasedOrderPlanner.js';
export * from './loadBudget.js';
export * from './orderPlanner.js';
export * from './rolloutPlanner.js';
