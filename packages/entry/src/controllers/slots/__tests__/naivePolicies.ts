import { pickByRendezvous, SlotPolicy } from '@goldcrestscale/core';
import type { SlotHandle, SlotTarget, VmId } from '@goldcrestscale/core';
import { LeasedSlotPolicy } from '../leasedSlotPolicy.js';
import { SlotGranter } from '../slotGranter.js';
import type { VmParts } from './slotWorld.js';

/** Counts requests of this VM against a limit and asks nobody. */
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

/** Each VM counts for itself. */
export class LocalCountPolicy extends CountingPolicy {
  protected override computeLimit(target: SlotTarget): number {
    return target.cold ? target.coldConcurrent : target.maxConcurrent;
  }
}

/** Each VM has a fixed share, rounded up so that nobody is left without one. */
export class StaticSplitPolicy extends CountingPolicy {
  constructor(private readonly vmCount: number) {
    super();
  }

  protected override computeLimit(target: SlotTarget): number {
    const capacity = target.cold ? target.coldConcurrent : target.maxConcurrent;
    return Math.ceil(capacity / this.vmCount);
  }
}

/** Grants by rendezvous hashing over the members that are reached, without a lease or a wait. */
export const createUnleasedPolicies = () => {
  const granters = new Map<VmId, SlotGranter>();
  return (parts: VmParts): SlotPolicy => {
    const { self } = parts.link;
    const granter = new SlotGranter({
      self,
      findHeld: () => undefined,
      isOwner: () => true,
      listOwnReports: () => [],
      listEntryVms: () => [],
      askForReports: () => Promise.resolve([]),
      isAlone: true,
    });
    granters.set(self.vmId, granter);
    const policy = new LeasedSlotPolicy((report) => {
      const chosen = pickByRendezvous(report.upstreamId, parts.listLive()) as VmId;
      return Promise.resolve(granters.get(chosen)?.accept(self, report));
    });
    policy.start(parts.signal);
    return policy;
  };
};
