import type { VmId } from '../ids.js';
import { MEMBER_STATES } from './detectorMessage.js';
import type { MemberState, MemberUpdate } from './detectorMessage.js';

/** State of one member. */
export interface Member {
  readonly vmId: VmId;
  state: MemberState;
  incarnation: number;
  /** Time of the last message or state change, by the monotonic clock, in milliseconds. */
  lastSeenAtMs: number;
  suspectedAtMs: number;
}

const isNewer = (update: MemberUpdate, member: Member): boolean =>
  update.incarnation > member.incarnation ||
  (update.incarnation === member.incarnation &&
    MEMBER_STATES.indexOf(update.state) > MEMBER_STATES.indexOf(member.state));

/** Members of the VM list with their states. */
export class MemberTable {
  private readonly members = new Map<VmId, Member>();

  /** Replaces the member set with the VM list: adds new members as live, removes missing ones. */
  setMembers(vmIds: readonly VmId[]): void {
    const listed = new Set(vmIds);
    [...this.members.keys()]
      .filter((vmId) => !listed.has(vmId))
      .forEach((vmId) => this.members.delete(vmId));
    const nowMs = performance.now();
    vmIds
      .filter((vmId) => !this.members.has(vmId))
      .forEach((vmId) =>
        this.members.set(vmId, {
          vmId,
          state: 'live',
          incarnation: 0,
          lastSeenAtMs: nowMs,
          suspectedAtMs: 0,
        }),
      );
  }

  /** Returns a member; undefined if it is not in the VM list. */
  get(vmId: VmId): Member | undefined {
    return this.members.get(vmId);
  }

  list(): readonly Member[] {
    return [...this.members.values()];
  }

  /** Applies an update; returns whether it changed anything. */
  apply(update: MemberUpdate): boolean {
    const member = this.members.get(update.vmId);
    if (!member || !isNewer(update, member)) return false;
    member.state = update.state;
    member.incarnation = update.incarnation;
    member.lastSeenAtMs = performance.now();
    if (update.state === 'suspect') member.suspectedAtMs = member.lastSeenAtMs;
    return true;
  }
}
