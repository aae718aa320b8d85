import { MemoryLog, toId } from '@goldcrestscale/core';
import type { BootId, VmId } from '@goldcrestscale/core';
import { MemoryNetwork, SlotsController } from '@goldcrestscale/entry';
import type { FleetSize } from './simulatedEntryVm.js';

const MESH_DELAY_MS = 1;

const getVmId = (index: number): VmId => toId<VmId>(`vm-${index}`);

/** Creates a factory for the slots controllers of one fleet, which share a network and a lease stream. */
export const createFleetSlots = (): ((index: number, size: FleetSize) => SlotsController) => {
  const network = new MemoryNetwork({ delayMs: MESH_DELAY_MS });
  const leaseStream = new MemoryLog();
  return (index, { vmCount }) => {
    const self = { vmId: getVmId(index), bootId: toId<BootId>(`boot-${index}`) };
    const listVms = (): readonly VmId[] =>
      Array.from({ length: vmCount }, (_none, vmIndex) => getVmId(vmIndex));
    return new SlotsController({
      self,
      fleet: {
        link: network.join(self),
        leaseStream,
        listLive: listVms,
        listEntryVms: listVms,
      },
    });
  };
};
