/** Clients that send requests to a site, for the demo and the process tests. */
export * from './retryingClient.js';
export * from './conversation.js';
export * from './phaseMetrics.js';
export * from './trafficGenerator.js';
export * from './nonIdempotentCallTracker.js';
