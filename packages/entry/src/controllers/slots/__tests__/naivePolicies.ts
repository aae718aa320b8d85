import { pickByRendezvous, SlotPolicy } from '@goldcrestscale/core';
import type { SlotHandle, SlotTarget, VmId } from '@goldcrestscale/core';
import { LeasedSlotPolicy } from '../leasedSlotPolicy.js';
import { SlotGranter } from '../slotGranter.js';
import type { PolicyDependencies } from './slotSimulation.js';

/** Limits requests by a count local to this VM. */
export abstract class CountingPolicy extends SlotPolicy {
  private readonly inFlight = new Map<string, number>();

  protected abstract computeLimit(target: SlotTarget): number;

  override tryAcquire(target: SlotTarget): SlotHandle | undefined {
    const key = target.bootId;
    const count = this.inFlight.get(key) ?? 0;
    if (count >= this.computeLimit(target)) return undefined;
    this.inFlight.set(key, count + 1);
    return {
      bootId: target.bootId,
      begin: (connectionBootId) => connectionBootId === target.bootId,
      release: () => this.inFlight.set(key, (this.inFlight.get(key) ?? 1) - 1),
    };
  }

  override acquire(target: SlotTarget): Promise<SlotHandle> {
    const handle = this.tryAcquire(target);
    return handle ? Promise.resolve(handle) : Promise.reject(new Error('no slot'));
  }
}

/** Every VM applies the full limit on its own. */
export class LocalCountPolicy extends CountingPolicy {
  protected override computeLimit(target: SlotTarget): number {
    return target.cold ? target.coldConcurrent : target.maxConcurrent;
  }
}

/** Every VM has a static share of the limit, rounded up so that each has at least one slot. */
export class StaticSplitPolicy extends CountingPolicy {
  constructor(private readonly vmCount: number) {
    super();
  }

  protected override computeLimit(target: SlotTarget): number {
    const capacity = target.cold ? target.coldConcurrent : target.maxConcurrent;
    return Math.ceil(capacity / this.vmCount);
  }
}

/** Grants by rendezvous hashing over the reachable VMs, without a lease or a takeover wait. */
export const createUnleasedPolicies = () => {
  const granters = new Map<VmId, SlotGranter>();
  return (parts: PolicyDependencies): SlotPolicy => {
    const { self } = parts.link;
    const granter = new SlotGranter({
      self,
      findHeldLease: () => undefined,
      isOwner: () => true,
      listOwnReports: () => [],
      listEntryVms: () => [],
      fetchReports: () => Promise.resolve([]),
      isSingleVm: true,
    });
    granters.set(self.vmId, granter);
    const policy = new LeasedSlotPolicy((report) => {
      const chosen = pickByRendezvous(report.upstreamId, parts.listLive()) as VmId;
      return Promise.resolve(granters.get(chosen)?.handleReport(self, report));
    });
    policy.start(parts.signal);
    return policy;
  };
};
