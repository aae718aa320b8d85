import { MAX_RECONNECT_DELAY_MS, INITIAL_RECONNECT_DELAY_MS } from './constants.js';

/**
 * Computes the delay before the next connection attempt: exponential backoff with jitter.
 *
 * @param consecutiveFailures failed attempts in a row, at least 1
 * @param random number drawn uniformly from [0, 1)
 */
export const computeReconnectDelayMs = (consecutiveFailures: number, random: number): number => {
  const ceilingMs = Math.min(
    MAX_RECONNECT_DELAY_MS,
    INITIAL_RECONNECT_DELAY_MS * 2 ** Math.min(consecutiveFailures - 1, 30),
  );
  return ceilingMs / 2 + (ceilingMs / 2) * random;
};
