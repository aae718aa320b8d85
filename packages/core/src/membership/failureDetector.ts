import type { VmId } from '../ids.js';
import { PAUSE_GAP_MS } from './constants.js';
import { MEMBER_STATES } from './detectorMessage.js';
import type { DetectorMessage, MemberState, MemberUpdate } from './detectorMessage.js';
import { MemberTable } from './memberTable.js';
import type { Member } from './memberTable.js';

/** What a failure detector needs of its surroundings. */
export interface DetectorOptions {
  readonly self: VmId;
  /** Incarnation of this run; larger than those of earlier runs. */
  readonly incarnation: number;
  readonly send: (to: VmId, message: DetectorMessage) => void;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Called when a member's state has changed. */
  readonly onChange?: (update: MemberUpdate) => void;
}

/** Finds out which members of the VM list are alive. Decides only; messages go through `send`. */
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

  /** Takes over the VM list. */
  setMembers(vmIds: readonly VmId[]): void {
    this.table.setMembers(vmIds.filter((vmId) => vmId !== this.self));
    this.handleMembersChanged();
  }

  /** Takes one step; to be called every `DETECTOR_TICK_MS`. */
  runStep(): void {
    const nowMs = performance.now();
    if (nowMs - this.lastTickMs > PAUSE_GAP_MS) this.resetTimes(nowMs);
    this.lastTickMs = nowMs;
    this.advance(nowMs);
  }

  /** Takes in a message of a member. */
  receive(from: VmId, message: DetectorMessage): void {
    this.noteAlive(from, message.incarnation);
    message.updates.forEach((update) => this.applyUpdate(update));
    this.handleMessage(from, message);
  }

  /** Tells the members that this VM is about to leave. */
  leave(): void {
    this.ownState = 'leaving';
    this.publish({ vmId: this.self, state: 'leaving', incarnation: this.incarnation });
  }

  /** Gives the state of a member; undefined where the VM list does not have it. */
  getState(vmId: VmId): MemberState | undefined {
    return vmId === this.self ? this.ownState : this.table.get(vmId)?.state;
  }

  /** Lists the members that are not dead, this VM included. */
  listLive(): readonly VmId[] {
    const others = this.table.list().filter((member) => member.state !== 'dead');
    return [this.self, ...others.map((member) => member.vmId)];
  }

  /** Gives the state for the dump. */
  dump(): unknown {
    const members = this.table.list();
    const counts = MEMBER_STATES.map((state) => [
      state,
      members.filter((member) => member.state === state).length,
    ]);
    return { incarnation: this.incarnation, ...Object.fromEntries(counts) };
  }

  /** Lists the members that this VM exchanges messages with all the time. */
  abstract listNeighbours(): readonly VmId[];

  /** Does the periodic work. */
  protected abstract advance(nowMs: number): void;

  /** Handles the part of a message that is particular to the scheme. */
  protected abstract handleMessage(from: VmId, message: DetectorMessage): void;

  /** Makes news known to the members. */
  protected abstract publish(update: MemberUpdate): void;

  /**
   * Reacts to news that an earlier run of a member, or one of unknown incarnation, is dead. The
   * present run may be dead as well.
   */
  protected abstract handleOldDeath(vmId: VmId): void;

  /** Reacts to a change of the VM list. */
  protected abstract handleMembersChanged(): void;

  /** Sends a message. */
  protected send(to: VmId, message: Omit<DetectorMessage, 'incarnation'>): void {
    this.options.send(to, { ...message, incarnation: this.incarnation });
  }

  /** Marks a member as suspect, or as dead, and publishes that. */
  protected markFailed(member: Member, state: 'suspect' | 'dead'): void {
    this.applyUpdate({ vmId: member.vmId, state, incarnation: member.incarnation });
  }

  /** Applies news and passes on what is new. */
  protected applyUpdate(update: MemberUpdate): void {
    if (update.vmId === this.self) {
      this.answerSuspicion(update);
      return;
    }
    const before = this.table.get(update.vmId);
    if (!before) return;
    const { state, incarnation } = before;
    if (update.state === 'dead' && update.incarnation < incarnation && state !== 'dead') {
      this.handleOldDeath(update.vmId);
    }
    if (!this.table.apply(update)) return;
    if (state !== update.state) this.options.onChange?.(update);
    // Who knows of an older death must hear of the newer one as well.
    if (state !== update.state || state === 'dead') this.publish(update);
  }

  private answerSuspicion(update: MemberUpdate): void {
    const isWrong = update.state === 'suspect' || update.state === 'dead';
    if (!isWrong) return;
    this.incarnation = Math.max(this.incarnation, update.incarnation + 1);
    this.publish({ vmId: this.self, state: this.ownState, incarnation: this.incarnation });
  }

  private noteAlive(vmId: VmId, incarnation: number): void {
    const member = this.table.get(vmId);
    if (!member) return;
    member.seenAtMs = performance.now();
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

  /** After a pause of this process nothing is known of the time that the others had. */
  protected resetTimes(nowMs: number): void {
    this.table.list().forEach((member) => {
      const seen = member;
      seen.seenAtMs = nowMs;
      seen.suspectedAtMs = nowMs;
    });
  }
}
