import { DecayedSum } from '../decayedSum.js';
import { ARRIVAL_RATE_TIME_CONSTANT_MS } from './constants.js';

/** Moving average of the record arrival rate. */
export interface ArrivalRate {
  record(): void;
  /** Returns the number of arrivals per millisecond. */
  getRatePerMs(): number;
}

/** Creates an exponentially weighted moving average. */
export const createArrivalRate = (): ArrivalRate => {
  const arrivals = new DecayedSum(ARRIVAL_RATE_TIME_CONSTANT_MS);
  return {
    record: () => arrivals.add(1),
    getRatePerMs: () => arrivals.perMs,
  };
};
