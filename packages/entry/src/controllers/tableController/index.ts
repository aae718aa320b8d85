/** Configuration table, kept current from the log and from peers. */
export * from './tableController.js';
export * from './tablePeers.js';
