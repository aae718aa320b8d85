/** Prometheus metrics. */
export * from './latencyBuckets.js';
export * from './metrics.js';
