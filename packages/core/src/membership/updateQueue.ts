import type { VmId } from '../ids.js';
import { MAX_UPDATES_PER_MESSAGE, PIGGYBACK_FACTOR } from './constants.js';
import type { MemberUpdate } from './detectorMessage.js';

interface QueuedUpdate {
  readonly update: MemberUpdate;
  sent: number;
}

/** News that travel on probes and answers; each is sent a number of times, the least sent first. */
export class UpdateQueue {
  private readonly queue = new Map<VmId, QueuedUpdate>();

  /** Adds news; they take the place of older ones of the same member. */
  add(update: MemberUpdate): void {
    this.queue.set(update.vmId, { update, sent: 0 });
  }

  /** Takes the updates for one message. */
  take(memberCount: number): readonly MemberUpdate[] {
    if (this.queue.size === 0) return [];
    const limit = PIGGYBACK_FACTOR * Math.ceil(Math.log2(memberCount + 2));
    const chosen = [...this.queue.values()]
      .sort((left, right) => left.sent - right.sent)
      .slice(0, MAX_UPDATES_PER_MESSAGE);
    chosen.forEach((queued) => {
      const item = queued;
      item.sent += 1;
      if (item.sent >= limit) this.queue.delete(item.update.vmId);
    });
    return chosen.map((queued) => queued.update);
  }
}
