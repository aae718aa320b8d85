import type { AvailabilityZoneId, VmRecord } from '@goldcrestscale/core';

/** One entry VM that a caller may use. */
export interface EntryAddress {
  readonly address: string;
  readonly availabilityZone: AvailabilityZoneId;
}

/** Answer of `GET /v1/entries`: addresses in order of preference. */
export interface EntriesAnswer {
  readonly entries: readonly EntryAddress[];
  /** Time for which the answer may be kept, in milliseconds. */
  readonly ttlMs: number;
}

/** Builds the answer from ranked entry VMs. */
export const buildEntriesAnswer = (ranked: readonly VmRecord[], ttlMs: number): EntriesAnswer => ({
  entries: ranked.map(({ address, availabilityZone }) => ({ address, availabilityZone })),
  ttlMs,
});
