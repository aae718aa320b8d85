/** Keeps the configuration table current. */
export * from './tableController.js';
