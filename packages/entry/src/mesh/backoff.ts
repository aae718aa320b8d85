import { RECONNECT_MAX_MS, RECONNECT_MIN_MS } from './constants.js';

/**
 * Computes the delay before the next attempt to connect.
 *
 * @param failures attempts that failed in a row, from 1 on
 * @param random uniform in [0, 1)
 */
export const computeReconnectDelay = (failures: number, random: number): number => {
  const ceiling = Math.min(RECONNECT_MAX_MS, RECONNECT_MIN_MS * 2 ** Math.min(failures - 1, 30));
  return ceiling / 2 + (ceiling / 2) * random;
};
