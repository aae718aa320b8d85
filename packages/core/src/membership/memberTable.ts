import type { VmId } from '../ids.js';
import { MEMBER_STATES } from './detectorMessage.js';
import type { MemberState, MemberUpdate } from './detectorMessage.js';

/** What is known of one member. */
export interface Member {
  readonly vmId: VmId;
  state: MemberState;
  incarnation: number;
  /** Time of the last sign of life or change of state, by the monotonic clock, in milliseconds. */
  seenAtMs: number;
  suspectedAtMs: number;
}

const isNewer = (update: MemberUpdate, member: Member): boolean =>
  update.incarnation > member.incarnation ||
  (update.incarnation === member.incarnation &&
    MEMBER_STATES.indexOf(update.state) > MEMBER_STATES.indexOf(member.state));

/** Members of the VM list with their states. */
export class MemberTable {
  private readonly members = new Map<VmId, Member>();

  /** Takes over the VM list: adds new members as live and forgets those that are gone. */
  setMembers(vmIds: readonly VmId[]): void {
    const wanted = new Set(vmIds);
    [...this.members.keys()]
      .filter((vmId) => !wanted.has(vmId))
      .forEach((vmId) => this.members.delete(vmId));
    const nowMs = performance.now();
    vmIds
      .filter((vmId) => !this.members.has(vmId))
      .forEach((vmId) =>
        this.members.set(vmId, {
          vmId,
          state: 'live',
          incarnation: 0,
          seenAtMs: nowMs,
          suspectedAtMs: 0,
        }),
      );
  }

  /** Gives a member; undefined where the VM list does not have it. */
  get(vmId: VmId): Member | undefined {
    return this.members.get(vmId);
  }

  /** Lists every member. */
  list(): readonly Member[] {
    return [...this.members.values()];
  }

  /** Applies news; tells whether they changed anything. */
  apply(update: MemberUpdate): boolean {
    const member = this.members.get(update.vmId);
    if (!member || !isNewer(update, member)) return false;
    member.state = update.state;
    member.incarnation = update.incarnation;
    member.seenAtMs = performance.now();
    if (update.state === 'suspect') member.suspectedAtMs = member.seenAtMs;
    return true;
  }
}
