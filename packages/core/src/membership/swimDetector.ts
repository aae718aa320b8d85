import type { VmId } from '../ids.js';
import type { MemberUpdate } from './detectorMessage.js';
import { ProbingDetector } from './probingDetector.js';
import { UpdateQueue } from './updateQueue.js';

/** Probes all members in random order; updates are disseminated only by piggybacking. */
export class SwimDetector extends ProbingDetector {
  protected override readonly publishesSuspicion = true;

  private readonly noNeighbours: readonly VmId[] = [];

  private readonly queue = new UpdateQueue();

  override listNeighbours(): readonly VmId[] {
    return this.noNeighbours;
  }

  protected override listProbeTargets(): readonly VmId[] {
    return this.table.list().map((member) => member.vmId);
  }

  protected override publish(update: MemberUpdate): void {
    this.queue.add(update);
  }

  protected override takeUpdates(): readonly MemberUpdate[] {
    return this.queue.take(this.table.list().length);
  }
}
