import type { AvailabilityZoneId, VmId } from '../ids.js';
import { ENTRIES_PER_ANSWER } from './constants.js';
import type { MemberState } from './detectorMessage.js';
import { rankByRendezvous } from './rendezvous.js';
import type { VmRecord } from './vm.js';

/** What the order of entry VMs depends on. */
export interface EntryOrderInput {
  readonly vms: readonly VmRecord[];
  /** State by the failure detector; undefined where it does not know the VM. */
  readonly getState: (vmId: VmId) => MemberState | undefined;
  readonly zonesOut: ReadonlySet<AvailabilityZoneId>;
  /** Prompt or session key, or a random text where the caller gives none. */
  readonly key: string;
  /** Most VMs to give. @default ENTRIES_PER_ANSWER */
  readonly limit?: number;
}

const canServe = (vm: VmRecord, input: EntryOrderInput): boolean => {
  if (vm.role !== 'entry' || vm.state !== 'live') return false;
  if (input.zonesOut.has(vm.availabilityZone)) return false;
  const state = input.getState(vm.vmId);
  return state === 'live' || state === 'suspect';
};

const takeOnePerZone = (ranked: readonly VmRecord[]): VmRecord[] => {
  const zones = new Set<AvailabilityZoneId>();
  return ranked.filter((vm) => {
    if (zones.has(vm.availabilityZone)) return false;
    zones.add(vm.availabilityZone);
    return true;
  });
};

/**
 * Gives the entry VMs for a caller, best first: the key's rendezvous order, with the first ones in
 * different availability zones.
 */
export const rankEntries = (input: EntryOrderInput): VmRecord[] => {
  const usable = input.vms.filter((vm) => canServe(vm, input));
  const byId = new Map(usable.map((vm) => [vm.vmId, vm]));
  const ranked = rankByRendezvous(input.key, [...byId.keys()]).map(
    (vmId) => byId.get(vmId) as VmRecord,
  );
  const first = takeOnePerZone(ranked);
  const rest = ranked.filter((vm) => !first.includes(vm));
  return [...first, ...rest].slice(0, input.limit ?? ENTRIES_PER_ANSWER);
};
