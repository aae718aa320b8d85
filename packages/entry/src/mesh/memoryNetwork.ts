import type { VmId } from '@goldcrestscale/core';
import type { PeerIdentity } from './authentication.js';
import { MemoryPeerTransport } from './memoryPeerTransport.js';
import type { MemoryRoutes } from './memoryPeerTransport.js';
import type { PeerTransport } from './peerTransport.js';

/** Options of an in-process network. */
export interface MemoryNetworkOptions {
  /** One-way delivery delay of each message, in milliseconds. @default 1 */
  readonly delayMs?: number;
}

/** In-process network of peer transports, for tests with fake timers. */
export class MemoryNetwork implements MemoryRoutes {
  private readonly links = new Map<VmId, MemoryPeerTransport>();

  private readonly partitionIds = new Map<VmId, number>();

  private readonly pauseWaiters = new Map<VmId, Set<() => void>>();

  private readonly delayMs: number;

  constructor(options: MemoryNetworkOptions = {}) {
    this.delayMs = options.delayMs ?? 1;
  }

  /** Adds a VM. A VM that joins again replaces its previous process. */
  join(self: PeerIdentity): PeerTransport {
    const link = new MemoryPeerTransport(self, this);
    this.links.set(self.vmId, link);
    return link;
  }

  /** Removes a VM, as a crash would. */
  remove(vmId: VmId): void {
    this.links.delete(vmId);
  }

  /** Partitions the network into the given groups; all VMs not listed form one more group. */
  partition(...partitions: readonly (readonly VmId[])[]): void {
    this.partitionIds.clear();
    partitions.forEach((vmIds, index) =>
      vmIds.forEach((vmId) => this.partitionIds.set(vmId, index + 1)),
    );
  }

  /** Holds back all messages from and to a VM, as a paused process would. */
  pause(vmId: VmId): void {
    if (!this.pauseWaiters.has(vmId)) this.pauseWaiters.set(vmId, new Set());
  }

  /** Releases the messages held back for a paused VM. */
  resume(vmId: VmId): void {
    const waiters = this.pauseWaiters.get(vmId);
    this.pauseWaiters.delete(vmId);
    waiters?.forEach((wake) => wake());
  }

  async waitWhilePaused(vmId: VmId): Promise<void> {
    const waiters = this.pauseWaiters.get(vmId);
    if (!waiters) return;
    await new Promise<void>((resolve) => {
      waiters.add(resolve);
    });
    await this.waitWhilePaused(vmId);
  }

  findReachable(from: VmId, to: VmId): MemoryPeerTransport | undefined {
    const isPartitioned = (this.partitionIds.get(from) ?? 0) !== (this.partitionIds.get(to) ?? 0);
    return isPartitioned || !this.links.has(from) ? undefined : this.links.get(to);
  }

  listReachable(from: VmId): readonly PeerIdentity[] {
    return [...this.links.keys()]
      .filter((vmId) => vmId !== from)
      .flatMap((vmId) => this.findReachable(from, vmId)?.self ?? []);
  }

  waitForDelivery(): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, this.delayMs);
    });
  }
}
