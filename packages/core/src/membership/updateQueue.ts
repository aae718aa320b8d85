import type { VmId } from '../ids.js';
import { MAX_UPDATES_PER_MESSAGE, PIGGYBACK_FACTOR } from './constants.js';
import type { MemberUpdate } from './detectorMessage.js';

interface QueuedUpdate {
  readonly update: MemberUpdate;
  sendCount: number;
}

/** Updates piggybacked on probes and acks; each is sent a limited number of times, least sent first. */
export class UpdateQueue {
  private readonly updatesByMember = new Map<VmId, QueuedUpdate>();

  /** Adds an update, replacing an older update about the same member. */
  add(update: MemberUpdate): void {
    this.updatesByMember.set(update.vmId, { update, sendCount: 0 });
  }

  /** Takes the updates for one message and removes those that have been sent often enough. */
  take(memberCount: number): readonly MemberUpdate[] {
    if (this.updatesByMember.size === 0) return [];
    const maxSends = PIGGYBACK_FACTOR * Math.ceil(Math.log2(memberCount + 2));
    const chosen = [...this.updatesByMember.values()]
      .sort((left, right) => left.sendCount - right.sendCount)
      .slice(0, MAX_UPDATES_PER_MESSAGE);
    chosen.forEach((queued) => {
      const item = queued;
      item.sendCount += 1;
      if (item.sendCount >= maxSends) this.updatesByMember.delete(item.update.vmId);
    });
    return chosen.map((queued) => queued.update);
  }
}
