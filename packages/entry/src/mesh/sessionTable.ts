import type { VmId } from '@goldcrestscale/core';
import type { PeerIdentity } from './authentication.js';
import type { Session } from './session.js';

/** Authenticated connections by VM. A VM has several while both sides connect at once. */
export class SessionTable {
  private readonly sessions = new Map<VmId, Session[]>();

  /** Adds a session; sessions with an earlier run of the same VM are closed. */
  add(session: Session): void {
    const { vmId, bootId } = session.peer;
    const known = this.sessions.get(vmId) ?? [];
    this.sessions.set(vmId, [...known.filter((other) => other.peer.bootId === bootId), session]);
    known.filter((other) => other.peer.bootId !== bootId).forEach((other) => other.close());
  }

  /** Removes a closed session; tells whether it was the last one of its VM. */
  remove(session: Session): boolean {
    const { vmId } = session.peer;
    const rest = (this.sessions.get(vmId) ?? []).filter((other) => other !== session);
    if (rest.length > 0) this.sessions.set(vmId, rest);
    else this.sessions.delete(vmId);
    return rest.length === 0;
  }

  /** Gives a session with a VM. */
  get(vmId: VmId): Session | undefined {
    const group = this.sessions.get(vmId) ?? [];
    return group[group.length - 1];
  }

  /** Lists the peers that have a session. */
  listPeers(): readonly PeerIdentity[] {
    return [...this.sessions.keys()].flatMap((vmId) => this.get(vmId)?.peer ?? []);
  }

  /** Lists every session. */
  list(): readonly Session[] {
    return [...this.sessions.values()].flat();
  }
}
