import type { BlockStoreSettings } from '../deployment/index.js';
import type { AvailabilityZoneId } from '../ids.js';

/** Slowdown of transfers between availability zones, as specified by the platform. */
const CROSS_ZONE_FACTOR = 2;

const BITS_PER_BYTE = 8;

/** Bits transferred per millisecond at 1 Mbit/s. */
const BITS_PER_MS = 1_000;

/** Amount of cache data to fetch from a block store. */
export interface FetchSize {
  readonly tokens: number;
  /** KV cache bytes per token. */
  readonly bytesPerToken: number;
}

/** Computes the duration of a fetch over an otherwise idle link, in milliseconds. */
export const computeFetchTimeMs = (
  store: BlockStoreSettings,
  { tokens, bytesPerToken }: FetchSize,
  engineZone: AvailabilityZoneId,
): number => {
  const bits = tokens * bytesPerToken * BITS_PER_BYTE;
  const transferMs = store.linkMbps > 0 ? bits / (store.linkMbps * BITS_PER_MS) : 0;
  const zoneFactor = store.availabilityZone === engineZone ? 1 : CROSS_ZONE_FACTOR;
  return store.firstByteMs + transferMs * zoneFactor;
};
