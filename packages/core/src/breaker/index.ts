/** Circuit breakers and ejection of failing upstreams. */
export { CappedEjectionPolicy } from './cappedEjectionPolicy.js';
export {
  CONSECUTIVE_FAILURES_TO_OPEN,
  MAX_EJECTED_FRACTION,
  MAX_BREAKER_OPEN_MS,
} from './constants.js';
export { EjectionPolicy } from './ejectionPolicy.js';
export type { BreakerState, EjectedUpstream, EjectionChange } from './ejectionPolicy.js';
