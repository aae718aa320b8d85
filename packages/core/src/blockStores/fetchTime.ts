import type { BlockStoreSettings } from '../deployment/index.js';
import type { AvailabilityZoneId } from '../ids.js';

/** Factor on a transfer between availability zones, from the platform's sheet. */
const CROSS_ZONE_FACTOR = 2;

const BITS_PER_BYTE = 8;

/** Bits that one megabit a second carries in a millisecond. */
const BITS_PER_MS = 1_000;

/** What is to be brought from a store to an engine. */
export interface FetchSize {
  readonly tokens: number;
  /** Bytes of cache that one token takes. */
  readonly bytesPerToken: number;
}

/** Computes the time that a fetch takes on a free link, in milliseconds. */
export const computeFetchTime = (
  store: BlockStoreSettings,
  { tokens, bytesPerToken }: FetchSize,
  engineZone: AvailabilityZoneId,
): number => {
  const bits = tokens * bytesPerToken * BITS_PER_BYTE;
  const transferMs = store.linkMbps > 0 ? bits / (store.linkMbps * BITS_PER_MS) : 0;
  const factor = store.availabilityZone === engineZone ? 1 : CROSS_ZONE_FACTOR;
  return store.firstByteMs + transferMs * factor;
};
