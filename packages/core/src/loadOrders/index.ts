/** Planning of weight-load orders to engines. */
export * from './constants.js';
export * from './leasedOrderPlanner.js';
export * from './loadBudget.js';
export * from './orderPlanner.js';
export * from './rolloutPlanner.js';
