import { ARRIVAL_RATE_TIME_CONSTANT_MS } from './constants.js';

/** Moving average of the record arrival rate. */
export interface ArrivalRate {
  record(): void;
  /** Returns the number of arrivals per millisecond. */
  getRatePerMs(): number;
}

/** Creates an exponentially weighted moving average. */
export const createArrivalRate = (): ArrivalRate => {
  let decayedCount = 0;
  let updatedAtMs = performance.now();
  const applyDecay = (): void => {
    const nowMs = performance.now();
    decayedCount *= Math.exp((updatedAtMs - nowMs) / ARRIVAL_RATE_TIME_CONSTANT_MS);
    updatedAtMs = nowMs;
  };
  return {
    record() {
      applyDecay();
      decayedCount += 1;
    },
    getRatePerMs() {
      applyDecay();
      return decayedCount / ARRIVAL_RATE_TIME_CONSTANT_MS;
    },
  };
};
