import { SlotPolicy } from '@goldcrestscale/core';
import type { SlotHandle, SlotTarget } from '@goldcrestscale/core';

/** Grants every slot at once, for the boot that the upstream reports. */
export class CountingSlotPolicy extends SlotPolicy {
  /** Number of slots in use. */
  inUse = 0;

  override tryAcquire({ bootId }: SlotTarget): SlotHandle {
    this.inUse += 1;
    return {
      bootId,
      begin: (connectionBootId) => connectionBootId === bootId,
      release: () => {
        this.inUse -= 1;
      },
    };
  }

  override async acquire(target: SlotTarget): Promise<SlotHandle> {
    return this.tryAcquire(target);
  }
}
