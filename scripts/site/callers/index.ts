/** Clients that send requests to a site, for the demo and the process tests. */
export * from './caller.js';
export * from './conversation.js';
export * from './stretchFigures.js';
export * from './trafficSource.js';
export * from './unrepeatableLedger.js';
