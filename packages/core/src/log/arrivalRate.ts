import { ARRIVAL_AVERAGE_MS } from './constants.js';

/** Moving average of how fast records arrive. */
export interface ArrivalRate {
  note(): void;
  /** Gives the records that arrive in a millisecond. */
  getPerMs(): number;
}

/** Creates an average whose past arrivals decay exponentially. */
export const createArrivalRate = (): ArrivalRate => {
  let weight = 0;
  let updatedAtMs = performance.now();
  const updateWeight = (): void => {
    const nowMs = performance.now();
    weight *= Math.exp((updatedAtMs - nowMs) / ARRIVAL_AVERAGE_MS);
    updatedAtMs = nowMs;
  };
  return {
    note() {
      updateWeight();
      weight += 1;
    },
    getPerMs() {
      updateWeight();
      return weight / ARRIVAL_AVERAGE_MS;
    },
  };
};
