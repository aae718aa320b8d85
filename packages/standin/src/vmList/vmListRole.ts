import { setTimeout as sleep } from 'node:timers/promises';
import type { VmRecord } from '@goldcrestscale/core';
import { buildErrorReply, FaultSet } from '../http/index.js';
import type { Reply, Route, RouteRequest, StandInRole } from '../http/index.js';

const defaultFaults = { outage: false, lagMs: 0, delayMs: 0 };

/** Faults of the VM list. */
export type VmListFaults = typeof defaultFaults;

/** Stand-in for the platform's VM list; changes become visible after `lagMs`. */
export class VmListRole implements StandInRole {
  readonly faults = new FaultSet<VmListFaults>(defaultFaults);

  readonly routes: readonly Route[] = [
    { method: 'GET', path: '/vms', handle: () => this.list() },
    { method: 'PUT', path: '/vms/:vmId', handle: (request) => this.put(request) },
    { method: 'DELETE', path: '/vms/:vmId', handle: (request) => this.delete(request) },
  ];

  private readonly vms = new Map<string, VmRecord>();

  constructor(vms: readonly VmRecord[] = []) {
    vms.forEach((vm) => this.vms.set(vm.vmId, vm));
  }

  private async list(): Promise<Reply> {
    const { delayMs, outage } = this.faults.current;
    if (delayMs > 0) await sleep(delayMs);
    if (outage) return buildErrorReply(503, 'outage');
    return { status: 200, body: { vms: [...this.vms.values()] } };
  }

  private put(request: RouteRequest): Reply {
    const vmId = request.params.vmId ?? '';
    const record = { ...request.readJson(), vmId } as VmRecord;
    return this.applyLater(() => this.vms.set(vmId, record));
  }

  private delete(request: RouteRequest): Reply {
    return this.applyLater(() => this.vms.delete(request.params.vmId ?? ''));
  }

  private applyLater(change: () => void): Reply {
    const { lagMs } = this.faults.current;
    if (lagMs > 0) setTimeout(change, lagMs);
    else change();
    return { status: 200, body: { ok: true } };
  }
}
