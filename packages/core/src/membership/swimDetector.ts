import type { VmId } from '../ids.js';
import type { MemberUpdate } from './detectorMessage.js';
import { ProbingDetector } from './probingDetector.js';
import { UpdateQueue } from './updateQueue.js';

/** Probes all members in random turn; news travel on probes and answers only. */
export class SwimDetector extends ProbingDetector {
  protected override readonly publishesSuspicion = true;

  private readonly noNeighbours: readonly VmId[] = [];

  private readonly queue = new UpdateQueue();

  override listNeighbours(): readonly VmId[] {
    return this.noNeighbours;
  }

  protected override listTargets(): readonly VmId[] {
    return this.table.list().map((member) => member.vmId);
  }

  protected override publish(update: MemberUpdate): void {
    this.queue.add(update);
  }

  protected override takeUpdates(): readonly MemberUpdate[] {
    return this.queue.take(this.table.list().length);
  }
}
