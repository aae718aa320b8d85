/** Prometheus metrics. */
export * from './latencyBuckets.js';
export * from './metricsRegistry.js';
