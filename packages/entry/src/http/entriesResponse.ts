import type { AvailabilityZoneId, VmRecord } from '@goldcrestscale/core';

/** Address of an entry VM. */
export interface EntryAddress {
  readonly address: string;
  readonly availabilityZone: AvailabilityZoneId;
}

/** Response of `GET /v1/entries`: addresses in order of preference. */
export interface EntriesResponse {
  readonly entries: readonly EntryAddress[];
  /** Time for which callers may cache the response, in milliseconds. */
  readonly ttlMs: number;
}

/** Builds the response from ranked entry VMs. */
export const buildEntriesResponse = (
  ranked: readonly VmRecord[],
  ttlMs: number,
): EntriesResponse => ({
  entries: ranked.map(({ address, availabilityZone }) => ({ address, availabilityZone })),
  ttlMs,
});
