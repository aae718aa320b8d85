import type { VmId } from '../ids.js';
import type { DetectorMessage, MemberUpdate } from './detectorMessage.js';
import { selectGridNeighbours } from './grid.js';
import { ProbingDetector } from './probingDetector.js';
import { UpdateQueue } from './updateQueue.js';

/**
 * Probes its row and column of the grid in random turn. Suspicion stays local. Deaths and
 * refutations go first to the row and column of the member concerned, which pass them on to their
 * own: every other member shares a row with one part of these and a column with another, so two
 * hops reach all but a few. News also travel on probes and answers, which reach those.
 */
export class GridProbingDetector extends ProbingDetector {
  protected override readonly publishesSuspicion = false;

  private neighbours: readonly VmId[] = [];

  private neighbourSet: ReadonlySet<VmId> = new Set();

  private readonly queue = new UpdateQueue();

  private readonly news = new Map<VmId, MemberUpdate>();

  override listNeighbours(): readonly VmId[] {
    return this.neighbours;
  }

  protected override listTargets(): readonly VmId[] {
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
    if (this.news.size === 0) return;
    const message: Omit<DetectorMessage, 'incarnation'> = {
      kind: 'heartbeat',
      sequence: 0,
      updates: [...this.news.values()],
    };
    this.news.clear();
    this.neighbours
      .filter((vmId) => this.getState(vmId) !== 'dead')
      .forEach((vmId) => this.send(vmId, message));
  }

  protected override publish(update: MemberUpdate): void {
    this.queue.add(update);
    const isConcerned = update.vmId === this.self || this.neighbourSet.has(update.vmId);
    if (isConcerned) this.news.set(update.vmId, update);
  }

  protected override takeUpdates(): readonly MemberUpdate[] {
    return this.queue.take(this.neighbours.length);
  }
}
