import type { VmId } from '../ids.js';
import type { DetectorMessage, MemberUpdate } from './detectorMessage.js';
import { selectGridNeighbours } from './grid.js';
import { ProbingDetector } from './probingDetector.js';
import { UpdateQueue } from './updateQueue.js';

/**
 * Probes the members of its grid row and column in random order. Suspicions are not disseminated.
 * Deaths and refutations are sent first to the row and column of the affected member, which
 * forward them to their own rows and columns: every other member shares a row with some of these
 * and a column with others, so two hops reach all but a few. Updates are also piggybacked on
 * probes and acks, which reach the remaining members.
 */
export class GridProbingDetector extends ProbingDetector {
  protected override readonly publishesSuspicion = false;

  private neighbours: readonly VmId[] = [];

  private neighbourSet: ReadonlySet<VmId> = new Set();

  private readonly queue = new UpdateQueue();

  private readonly pendingUpdates = new Map<VmId, MemberUpdate>();

  override listNeighbours(): readonly VmId[] {
    return this.neighbours;
  }

  protected override listProbeTargets(): readonly VmId[] {
    return this.neighbours;
  }

  protected override handleMembersChanged(): void {
    super.handleMembersChanged();
    const members = this.table.list().map((member) => member.vmId);
    this.neighbours = selectGridNeighbours(this.self, [this.self, ...members]);
    this.neighbourSet = new Set(this.neighbours);
  }

  protected override advance(nowMs: number): void {
    super.advance(nowMs);
    if (this.pendingUpdates.size === 0) return;
    const message: Omit<DetectorMessage, 'incarnation'> = {
      kind: 'heartbeat',
      sequence: 0,
      updates: [...this.pendingUpdates.values()],
    };
    this.pendingUpdates.clear();
    this.neighbours
      .filter((vmId) => this.getState(vmId) !== 'dead')
      .forEach((vmId) => this.send(vmId, message));
  }

  protected override publish(update: MemberUpdate): void {
    this.queue.add(update);
    const isOwnOrNeighbour = update.vmId === this.self || this.neighbourSet.has(update.vmId);
    if (isOwnOrNeighbour) this.pendingUpdates.set(update.vmId, update);
  }

  protected override takeUpdates(): readonly MemberUpdate[] {
    return this.queue.take(this.neighbours.length);
  }
}
