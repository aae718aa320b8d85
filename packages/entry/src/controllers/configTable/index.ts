/** Configuration table, kept current from the log and from peers. */
export * from './configTableController.js';
export * from './tableGossip.js';
