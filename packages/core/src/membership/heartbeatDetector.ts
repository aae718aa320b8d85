import type { VmId } from '../ids.js';
import { MAX_MISSED_HEARTBEATS } from './constants.js';
import type { MemberUpdate } from './detectorMessage.js';
import { FailureDetector } from './failureDetector.js';
import type { DetectorOptions } from './failureDetector.js';

/** Sends heartbeats to its neighbours and declares dead those that send none. */
export abstract class HeartbeatDetector extends FailureDetector {
  protected abstract readonly intervalMs: number;

  private neighbours: readonly VmId[] = [];

  private nextHeartbeatAtMs: number;

  constructor(options: DetectorOptions) {
    super(options);
    this.nextHeartbeatAtMs = performance.now() + options.random() * 1_000;
  }

  override listNeighbours(): readonly VmId[] {
    return this.neighbours;
  }

  /** Selects the neighbours from all members. */
  protected abstract selectNeighbours(members: readonly VmId[]): readonly VmId[];

  protected override handleMembersChanged(): void {
    const members = this.table.list().map((member) => member.vmId);
    this.neighbours = this.selectNeighbours([this.self, ...members]);
  }

  protected override handleMessage(): void {
    // Heartbeats are fully processed by `receive`.
  }

  protected override handleStaleDeath(): void {
    // Missed heartbeats reveal whether the current incarnation is dead.
  }

  protected override advance(nowMs: number): void {
    if (nowMs >= this.nextHeartbeatAtMs) {
      this.nextHeartbeatAtMs = nowMs + this.intervalMs;
      this.neighbours.forEach((vmId) =>
        this.send(vmId, { kind: 'heartbeat', sequence: 0, updates: [] }),
      );
    }
    const cutoffMs = nowMs - MAX_MISSED_HEARTBEATS * this.intervalMs;
    this.neighbours.forEach((vmId) => {
      const member = this.table.get(vmId);
      if (!member || member.state === 'dead' || member.lastSeenAtMs > cutoffMs) return;
      this.markFailed(member, 'dead');
    });
  }

  protected override publish(update: MemberUpdate): void {
    this.neighbours.forEach((vmId) =>
      this.send(vmId, { kind: 'heartbeat', sequence: 0, updates: [update] }),
    );
  }
}
