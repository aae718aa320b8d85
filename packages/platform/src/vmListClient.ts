import { isSocketAddress, toId } from '@goldcrestscale/core';
import type { AvailabilityZoneId, BootId, VmId, VmRecord } from '@goldcrestscale/core';
import { z } from 'zod';
import { MAX_VM_LIST_BYTES, VM_LIST_TIMEOUT_MS } from './constants.js';
import { sendJsonRequest } from './sendJsonRequest.js';

const addressSchema = z.string().refine(isSocketAddress, 'use HOST:PORT');

const vmSchema = z.object({
  vmId: z.string().transform((value) => toId<VmId>(value)),
  role: z.enum(['entry', 'engine', 'store', 'service']),
  address: addressSchema,
  availabilityZone: z.string().transform((value) => toId<AvailabilityZoneId>(value)),
  state: z.enum(['live', 'leaving']),
  service: z.string().exactOptional(),
  meshAddress: addressSchema.exactOptional(),
  bootId: z
    .string()
    .transform((value) => toId<BootId>(value))
    .exactOptional(),
});
const vmListSchema = z.object({ vms: z.array(z.unknown()) });

/** Client of the platform's VM list. */
export interface VmListClient {
  /** Returns the VMs in the list, which may be out of date. */
  listVms(signal?: AbortSignal): Promise<readonly VmRecord[]>;
}

/** Options of the VM list client. */
export interface VmListClientOptions {
  /** Called with the problems of an entry that describes no VM and is left out. */
  readonly onInvalidEntry?: (problems: string) => void;
}

/** Creates a client for the VM list at a base URL. */
export const createVmListClient = (
  baseUrl: string,
  { onInvalidEntry }: VmListClientOptions = {},
): VmListClient => ({
  async listVms(signal) {
    const response = await sendJsonRequest({
      url: `${baseUrl}/vms`,
      method: 'GET',
      timeoutMs: VM_LIST_TIMEOUT_MS,
      maxBytes: MAX_VM_LIST_BYTES,
      signal,
    });
    if (response.status !== 200)
      throw new Error(`VM list responded with status ${response.status}`);
    // One entry that is invalid must not hide the others.
    return vmListSchema.parse(response.body).vms.flatMap((entry) => {
      const parsed = vmSchema.safeParse(entry);
      if (parsed.success) return [parsed.data];
      onInvalidEntry?.(z.prettifyError(parsed.error));
      return [];
    });
  },
});
