import type { AvailabilityZoneId, VmId } from '../ids.js';
import { ENTRY_VMS_PER_RESPONSE } from './constants.js';
import type { MemberState } from './detectorMessage.js';
import { rankByRendezvous } from './rendezvous.js';
import type { VmRecord } from './vm.js';

/** Input of the entry VM ranking. */
export interface EntryRankingInput {
  readonly vms: readonly VmRecord[];
  /** State reported by the failure detector; undefined if it does not know the VM. */
  readonly getState: (vmId: VmId) => MemberState | undefined;
  readonly zonesOut: ReadonlySet<AvailabilityZoneId>;
  /** Prompt or session key, or a random string if the caller sends none. */
  readonly key: string;
  /** Maximum number of VMs to return. @default ENTRY_VMS_PER_RESPONSE */
  readonly limit?: number;
}

const isEligible = (vm: VmRecord, input: EntryRankingInput): boolean => {
  if (vm.role !== 'entry' || vm.state !== 'live') return false;
  if (input.zonesOut.has(vm.availabilityZone)) return false;
  const state = input.getState(vm.vmId);
  return state === 'live' || state === 'suspect';
};

const pickOnePerZone = (ranked: readonly VmRecord[]): VmRecord[] => {
  const zones = new Set<AvailabilityZoneId>();
  return ranked.filter((vm) => {
    if (zones.has(vm.availabilityZone)) return false;
    zones.add(vm.availabilityZone);
    return true;
  });
};

/**
 * Ranks the entry VMs for a caller, best first: in rendezvous order of the key, with one VM of
 * each availability zone before the others.
 */
export const rankEntryVms = (input: EntryRankingInput): VmRecord[] => {
  const eligible = input.vms.filter((vm) => isEligible(vm, input));
  const byId = new Map(eligible.map((vm) => [vm.vmId, vm]));
  const ranked = rankByRendezvous(input.key, [...byId.keys()]).map(
    (vmId) => byId.get(vmId) as VmRecord,
  );
  const first = pickOnePerZone(ranked);
  const rest = ranked.filter((vm) => !first.includes(vm));
  return [...first, ...rest].slice(0, input.limit ?? ENTRY_VMS_PER_RESPONSE);
};
