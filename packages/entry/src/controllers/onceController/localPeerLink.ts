import type { VmId } from '@goldcrestscale/core';
import { PeerLink, PeerLinkError } from './peerLink.js';

/** Handles one request of a peer. */
export type PeerHandler = (type: string, payload: unknown, signal: AbortSignal) => Promise<unknown>;

/** Reaches the VMs of this process only; what a single VM or a test needs. */
export class LocalPeerLink extends PeerLink {
  private readonly handlers = new Map<VmId, PeerHandler>();

  /** Makes a VM reachable until the signal aborts. */
  register(vmId: VmId, handler: PeerHandler, signal: AbortSignal): void {
    this.handlers.set(vmId, handler);
    signal.addEventListener('abort', () => this.handlers.delete(vmId), { once: true });
  }

  override async request(
    vmId: VmId,
    type: string,
    payload: unknown,
    signal: AbortSignal,
  ): Promise<unknown> {
    const handler = this.handlers.get(vmId);
    if (!handler) throw new PeerLinkError(`VM ${vmId} is not reachable`, 'no');
    return handler(type, payload, signal);
  }
}
