/** Ejection of failing upstreams. */
export { CappedEjection } from './cappedEjection.js';
export { FAILURES_TO_OPEN, MAX_EJECTED_SHARE, OPEN_MAX_MS } from './constants.js';
export { EjectionPolicy } from './ejectionPolicy.js';
export type { BreakerState } from './ejectionPolicy.js';
