import type { VmId } from '../ids.js';
import { PAUSE_DETECTION_MS } from './constants.js';
import { MEMBER_STATES } from './detectorMessage.js';
import type { DetectorMessage, MemberState, MemberUpdate } from './detectorMessage.js';
import { MemberTable } from './memberTable.js';
import type { Member } from './memberTable.js';

/** Dependencies of a failure detector. */
export interface DetectorOptions {
  readonly self: VmId;
  /** Incarnation of this process instance; larger than those of earlier instances. */
  readonly incarnation: number;
  readonly send: (to: VmId, message: DetectorMessage) => void;
  /** Uniformly distributed in [0, 1). */
  readonly random: () => number;
  /** Called when another member's state has changed through an update. */
  readonly onChange?: (update: MemberUpdate) => void;
}

/** Detects which members of the VM list are alive. Performs no I/O; messages go through `send`. */
export abstract class FailureDetector {
  protected readonly table = new MemberTable();

  protected readonly self: VmId;

  private incarnation: number;

  private ownState: MemberState = 'live';

  private lastTickMs = performance.now();

  constructor(protected readonly options: DetectorOptions) {
    this.self = options.self;
    this.incarnation = options.incarnation;
  }

  /** Replaces the member set with the VM list. */
  setMembers(vmIds: readonly VmId[]): void {
    this.table.setMembers(vmIds.filter((vmId) => vmId !== this.self));
    this.handleMembersChanged();
  }

  /** Runs one step; must be called every `DETECTOR_TICK_MS`. */
  runStep(): void {
    const nowMs = performance.now();
    if (nowMs - this.lastTickMs > PAUSE_DETECTION_MS) this.resetTimestamps(nowMs);
    this.lastTickMs = nowMs;
    this.advance(nowMs);
  }

  /** Processes a message from a member. */
  receive(from: VmId, message: DetectorMessage): void {
    this.recordAlive(from, message.incarnation);
    message.updates.forEach((update) => this.applyUpdate(update));
    this.handleMessage(from, message);
  }

  /** Announces that this VM is about to leave. */
  leave(): void {
    this.ownState = 'leaving';
    this.publish({ vmId: this.self, state: 'leaving', incarnation: this.incarnation });
  }

  /** Returns the state of a member; undefined if it is not in the VM list. */
  getState(vmId: VmId): MemberState | undefined {
    return vmId === this.self ? this.ownState : this.table.get(vmId)?.state;
  }

  /** Lists the members that are not dead, this VM included. */
  listLive(): readonly VmId[] {
    const others = this.table.list().filter((member) => member.state !== 'dead');
    return [this.self, ...others.map((member) => member.vmId)];
  }

  /** Returns the state for the diagnostic dump. */
  dump(): unknown {
    const members = this.table.list();
    const counts = MEMBER_STATES.map((state) => [
      state,
      members.filter((member) => member.state === state).length,
    ]);
    return { incarnation: this.incarnation, ...Object.fromEntries(counts) };
  }

  /** Lists the members that this VM continuously exchanges messages with. */
  abstract listNeighbours(): readonly VmId[];

  /** Performs the periodic work. */
  protected abstract advance(nowMs: number): void;

  /** Handles the protocol-specific part of a message. */
  protected abstract handleMessage(from: VmId, message: DetectorMessage): void;

  /** Disseminates an update to the members. */
  protected abstract publish(update: MemberUpdate): void;

  /**
   * Handles an update that an earlier or unknown incarnation of a member is dead. Its current
   * incarnation may be dead as well.
   */
  protected abstract handleStaleDeath(vmId: VmId): void;

  /** Handles a change of the VM list. */
  protected abstract handleMembersChanged(): void;

  protected send(to: VmId, message: Omit<DetectorMessage, 'incarnation'>): void {
    this.options.send(to, { ...message, incarnation: this.incarnation });
  }

  /** Marks a member as suspect or dead and publishes the update. */
  protected markFailed(member: Member, state: 'suspect' | 'dead'): void {
    this.applyUpdate({ vmId: member.vmId, state, incarnation: member.incarnation });
  }

  /** Applies an update and publishes it if it is new. */
  protected applyUpdate(update: MemberUpdate): void {
    if (update.vmId === this.self) {
      this.refuteSuspicion(update);
      return;
    }
    const before = this.table.get(update.vmId);
    if (!before) return;
    const { state, incarnation } = before;
    if (update.state === 'dead' && update.incarnation < incarnation && state !== 'dead') {
      this.handleStaleDeath(update.vmId);
    }
    if (!this.table.apply(update)) return;
    if (state !== update.state) this.options.onChange?.(update);
    // Members that know of an earlier incarnation's death must learn of the newer one as well.
    if (state !== update.state || state === 'dead') this.publish(update);
  }

  private refuteSuspicion(update: MemberUpdate): void {
    const needsRefutation = update.state === 'suspect' || update.state === 'dead';
    if (!needsRefutation) return;
    this.incarnation = Math.max(this.incarnation, update.incarnation + 1);
    this.publish({ vmId: this.self, state: this.ownState, incarnation: this.incarnation });
  }

  private recordAlive(vmId: VmId, incarnation: number): void {
    const member = this.table.get(vmId);
    if (!member) return;
    member.lastSeenAtMs = performance.now();
    if (incarnation > member.incarnation) {
      const state = member.state === 'leaving' ? 'leaving' : 'live';
      this.applyUpdate({ vmId, state, incarnation });
    } else if (member.state === 'suspect') {
      member.state = 'live';
    } else if (member.state === 'dead') {
      const update = { vmId, state: member.state, incarnation: member.incarnation };
      this.send(vmId, { kind: 'heartbeat', sequence: 0, updates: [update] });
    }
  }

  /** After a pause of this process, elapsed times say nothing about the other members. */
  protected resetTimestamps(nowMs: number): void {
    this.table.list().forEach((member) => {
      const entry = member;
      entry.lastSeenAtMs = nowMs;
      entry.suspectedAtMs = nowMs;
    });
  }
}
