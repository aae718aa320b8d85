import type { VmId } from '../ids.js';
import { MISSED_HEARTBEATS } from './constants.js';
import type { MemberUpdate } from './detectorMessage.js';
import { FailureDetector } from './failureDetector.js';
import type { DetectorOptions } from './failureDetector.js';

/** Sends heartbeats to its neighbours and counts as dead those of whom it hears none. */
export abstract class HeartbeatDetector extends FailureDetector {
  protected abstract readonly intervalMs: number;

  private neighbours: readonly VmId[] = [];

  private nextHeartbeatMs: number;

  constructor(options: DetectorOptions) {
    super(options);
    this.nextHeartbeatMs = performance.now() + options.random() * 1_000;
  }

  override listNeighbours(): readonly VmId[] {
    return this.neighbours;
  }

  /** Selects the neighbours among all members. */
  protected abstract selectNeighbours(members: readonly VmId[]): readonly VmId[];

  protected override handleMembersChanged(): void {
    const members = this.table.list().map((member) => member.vmId);
    this.neighbours = this.selectNeighbours([this.self, ...members]);
  }

  protected override handleMessage(): void {
    // Nothing is left to do.
  }

  protected override handleOldDeath(): void {
    // Nothing is left to do.
  }

  protected override advance(nowMs: number): void {
    if (nowMs >= this.nextHeartbeatMs) {
      this.nextHeartbeatMs = nowMs + this.intervalMs;
      this.neighbours.forEach((vmId) =>
        this.send(vmId, { kind: 'heartbeat', sequence: 0, updates: [] }),
      );
    }
    const deadBeforeMs = nowMs - MISSED_HEARTBEATS * this.intervalMs;
    this.neighbours.forEach((vmId) => {
      const member = this.table.get(vmId);
      if (!member || member.state === 'dead' || member.seenAtMs > deadBeforeMs) return;
      this.markFailed(member, 'dead');
    });
  }

  protected override publish(update: MemberUpdate): void {
    this.neighbours.forEach((vmId) =>
      this.send(vmId, { kind: 'heartbeat', sequence: 0, updates: [update] }),
    );
  }
}
