import { toId } from '@goldcrestscale/core';
import type { AvailabilityZoneId, BootId, VmId, VmRecord } from '@goldcrestscale/core';
import { z } from 'zod';
import { VM_LIST_TIMEOUT_MS } from './constants.js';
import { sendCall } from './httpCall.js';

const vmSchema = z.object({
  vmId: z.string().transform((value) => toId<VmId>(value)),
  role: z.enum(['entry', 'engine', 'store', 'service']),
  address: z.string(),
  availabilityZone: z.string().transform((value) => toId<AvailabilityZoneId>(value)),
  state: z.enum(['live', 'leaving']),
  service: z.string().exactOptional(),
  meshAddress: z.string().exactOptional(),
  bootId: z
    .string()
    .transform((value) => toId<BootId>(value))
    .exactOptional(),
});
const vmListSchema = z.object({ vms: z.array(vmSchema) });

/** Client of the platform's VM list. */
export interface VmListClient {
  /** Gives the VMs that the list shows now; the list lags. */
  listVms(signal?: AbortSignal): Promise<readonly VmRecord[]>;
}

/** Creates the client of the VM list at a base address. */
export const createVmListClient = (baseUrl: string): VmListClient => ({
  async listVms(signal) {
    const answer = await sendCall({
      url: `${baseUrl}/vms`,
      method: 'GET',
      timeoutMs: VM_LIST_TIMEOUT_MS,
      signal,
    });
    if (answer.status !== 200) throw new Error(`VM list answered with status ${answer.status}`);
    return vmListSchema.parse(answer.body).vms;
  },
});
