import { randomUUID } from 'node:crypto';
import { rankEntries } from '@goldcrestscale/core';
import type { AvailabilityZoneId, ConfigTable, VmId, VmRecord } from '@goldcrestscale/core';

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

/** What the answer depends on. */
export interface EntriesInput {
  readonly vms: readonly VmRecord[];
  readonly table: ConfigTable;
  /** Tells whether a VM is heard of and stays. */
  readonly isUsable: (vmId: VmId) => boolean;
  /** Prompt or session key of the caller. */
  readonly affinityKey: string | undefined;
  readonly ttlMs: number;
}

const listZonesOut = (table: ConfigTable): ReadonlySet<AvailabilityZoneId> =>
  new Set(
    table
      .listRows('zone')
      .filter((zone) => zone.state === 'out')
      .map((zone) => zone.id),
  );

/** Answers "which address do I use", best first and in different availability zones. */
export const listEntries = (input: EntriesInput): EntriesAnswer => {
  const ranked = rankEntries({
    vms: input.vms,
    getState: (vmId) => (input.isUsable(vmId) ? 'live' : undefined),
    zonesOut: listZonesOut(input.table),
    key: input.affinityKey ?? randomUUID(),
  });
  const entries = ranked.map(({ address, availabilityZone }) => ({ address, availabilityZone }));
  return { entries, ttlMs: input.ttlMs };
};
