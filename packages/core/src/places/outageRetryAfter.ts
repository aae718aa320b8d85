import {
  HONOURED_FRACTION,
  MAX_OUTAGE_RETRY_AFTER_MS,
  MIN_OUTAGE_RETRY_AFTER_MS,
  OUTAGE_RETRY_AFTER_MS,
  OUTAGE_SPREAD,
} from './constants.js';

/** What a VM knows of an outage that keeps it from serving a request. */
export interface OutageKnowledge {
  /** Time since the log has been unavailable, in milliseconds; undefined while it answers. */
  readonly outageMs: number | undefined;
  /** Time that the caller has left, in milliseconds; undefined if it did not tell. */
  readonly leftMs: number | undefined;
  /** Uniformly drawn from [0, 1). */
  readonly random: number;
}

/**
 * Computes when a caller should return to a VM that knows no configuration or no upstream. An outage
 * is expected to last as long again as it has; returns are spread, and none lies beyond what the
 * caller will wait.
 */
export const computeOutageRetryAfterMs = ({
  outageMs,
  leftMs,
  random,
}: OutageKnowledge): number => {
  if (outageMs === undefined) return MIN_OUTAGE_RETRY_AFTER_MS;
  const spread = 1 + (random - 1 / 2) * OUTAGE_SPREAD;
  const honouredMs = (leftMs ?? Infinity) * HONOURED_FRACTION;
  const wantedMs = Math.min(MAX_OUTAGE_RETRY_AFTER_MS, OUTAGE_RETRY_AFTER_MS + outageMs);
  const latestMs = Math.max(
    MIN_OUTAGE_RETRY_AFTER_MS,
    Math.min(wantedMs, honouredMs / (1 + OUTAGE_SPREAD / 2)),
  );
  return Math.max(MIN_OUTAGE_RETRY_AFTER_MS, latestMs * spread);
};
