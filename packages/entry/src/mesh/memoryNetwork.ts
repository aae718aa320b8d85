import type { VmId } from '@goldcrestscale/core';
import type { PeerIdentity } from './authentication.js';
import { MemoryPeerLink } from './memoryPeerLink.js';
import type { MemoryPaths } from './memoryPeerLink.js';
import type { PeerLink } from './peerLink.js';

/** Options of an in-process network. */
export interface MemoryNetworkOptions {
  /** Time that each message takes one way, in milliseconds. @default 1 */
  readonly delayMs?: number;
}

/** Peer links within one process, for tests on the paused clock. */
export class MemoryNetwork implements MemoryPaths {
  private readonly links = new Map<VmId, MemoryPeerLink>();

  private readonly groups = new Map<VmId, number>();

  private readonly paused = new Map<VmId, Set<() => void>>();

  private readonly delayMs: number;

  constructor(options: MemoryNetworkOptions = {}) {
    this.delayMs = options.delayMs ?? 1;
  }

  /** Adds a VM; a VM that joins again takes the place of its earlier run. */
  join(self: PeerIdentity): PeerLink {
    const link = new MemoryPeerLink(self, this);
    this.links.set(self.vmId, link);
    return link;
  }

  /** Removes a VM, as a crash does. */
  remove(vmId: VmId): void {
    this.links.delete(vmId);
  }

  /** Splits the network: VMs of different groups don't reach each other; unnamed ones form one. */
  split(...groups: readonly (readonly VmId[])[]): void {
    this.groups.clear();
    groups.forEach((group, index) => group.forEach((vmId) => this.groups.set(vmId, index + 1)));
  }

  /** Holds up every message from and to a VM, as a paused process does. */
  pause(vmId: VmId): void {
    if (!this.paused.has(vmId)) this.paused.set(vmId, new Set());
  }

  /** Lets the messages of a paused VM go on. */
  resume(vmId: VmId): void {
    const waiting = this.paused.get(vmId);
    this.paused.delete(vmId);
    waiting?.forEach((wake) => wake());
  }

  async waitWhilePaused(vmId: VmId): Promise<void> {
    const waiting = this.paused.get(vmId);
    if (!waiting) return;
    await new Promise<void>((resolve) => {
      waiting.add(resolve);
    });
    await this.waitWhilePaused(vmId);
  }

  findReachable(from: VmId, to: VmId): MemoryPeerLink | undefined {
    const isSplit = (this.groups.get(from) ?? 0) !== (this.groups.get(to) ?? 0);
    return isSplit || !this.links.has(from) ? undefined : this.links.get(to);
  }

  listReachable(from: VmId): readonly PeerIdentity[] {
    return [...this.links.keys()]
      .filter((vmId) => vmId !== from)
      .flatMap((vmId) => this.findReachable(from, vmId)?.self ?? []);
  }

  sleep(): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, this.delayMs);
    });
  }
}
