import type { VmId } from '@goldcrestscale/core';
import type { PeerIdentity } from './authentication.js';
import type { Session } from './session.js';

/** Sessions by VM. A VM has more than one if both sides connected at the same time. */
export class SessionTable {
  private readonly sessions = new Map<VmId, Session[]>();

  /** Adds a session and closes those with a previous process (another boot id) of the same VM. */
  add(session: Session): void {
    const { vmId, bootId } = session.peer;
    const existing = this.sessions.get(vmId) ?? [];
    this.sessions.set(vmId, [...existing.filter((other) => other.peer.bootId === bootId), session]);
    existing.filter((other) => other.peer.bootId !== bootId).forEach((other) => other.close());
  }

  /** Removes a closed session; returns whether it was the last one of its VM. */
  remove(session: Session): boolean {
    const { vmId } = session.peer;
    const remaining = (this.sessions.get(vmId) ?? []).filter((other) => other !== session);
    if (remaining.length > 0) this.sessions.set(vmId, remaining);
    else this.sessions.delete(vmId);
    return remaining.length === 0;
  }

  /** Returns the newest session with a VM. */
  get(vmId: VmId): Session | undefined {
    const sessions = this.sessions.get(vmId) ?? [];
    return sessions[sessions.length - 1];
  }

  /** Lists the peers with at least one session. */
  listPeers(): readonly PeerIdentity[] {
    return [...this.sessions.keys()].flatMap((vmId) => this.get(vmId)?.peer ?? []);
  }

  listSessions(): readonly Session[] {
    return [...this.sessions.values()].flat();
  }
}
