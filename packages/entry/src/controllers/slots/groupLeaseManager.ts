import { LEASE_RENEW_INTERVAL_MS, listSlotGroups, pickByRendezvous } from '@goldcrestscale/core';
import type { LeaseManager, VmId } from '@goldcrestscale/core';
import type { PeerIdentity } from '../../mesh/index.js';
import { GROUP_CHECK_INTERVAL_MS, REBALANCE_DELAY_MS } from './constants.js';

/** Options of a group lease manager. */
export interface GroupLeaseManagerOptions {
  readonly self: PeerIdentity;
  readonly leases: LeaseManager;
  /** Entry VMs that are alive and not leaving, including this one. */
  readonly listActiveVms: () => readonly VmId[];
  /** Resources leased in addition to the slot groups. */
  readonly extraResources?: readonly string[];
}

/**
 * Claims the leases of slot groups that rendezvous hashing assigns to this VM, and releases others.
 */
export class GroupLeaseManager {
  private readonly resources: readonly string[];

  private readonly misplacedSinceMs = new Map<string, number>();

  private isLeaving = false;

  constructor(private readonly options: GroupLeaseManagerOptions) {
    this.resources = [...listSlotGroups(), ...(options.extraResources ?? [])];
  }

  /** Follows, renews and rebalances the leases until the signal aborts. */
  start(signal: AbortSignal): void {
    const { leases } = this.options;
    const runInBackground = (task: () => Promise<void>): void => {
      // Failures, such as an unavailable log, are retried at the next interval.
      task().catch(() => undefined);
    };
    runInBackground(() => leases.follow(signal));
    runInBackground(() => this.renewLeases(signal));
    const timers = [
      setInterval(() => runInBackground(() => this.renewLeases(signal)), LEASE_RENEW_INTERVAL_MS),
      setInterval(() => runInBackground(() => this.rebalance(signal)), GROUP_CHECK_INTERVAL_MS),
    ];
    signal.addEventListener('abort', () => timers.forEach((timer) => clearInterval(timer)), {
      once: true,
    });
  }

  /** Releases all leases and stops claiming. */
  async leave(signal: AbortSignal): Promise<void> {
    this.isLeaving = true;
    await this.options.leases.release(this.resources, signal);
  }

  private async renewLeases(signal: AbortSignal): Promise<void> {
    const { leases, self } = this.options;
    const isNeeded = leases.table.listOwned(self).length > 0 || this.listClaimable().length > 0;
    if (isNeeded) await leases.renew(signal);
  }

  private async rebalance(signal: AbortSignal): Promise<void> {
    const { leases } = this.options;
    if (!leases.isReady) return;
    await leases.claim(this.listClaimable(), signal);
    await leases.release(this.listReleasable(), signal);
  }

  private listClaimable(): readonly string[] {
    if (this.isLeaving) return [];
    const { leases, self, listActiveVms } = this.options;
    const activeVms = listActiveVms();
    return this.resources.filter((resource) => {
      const owner = leases.table.getOwner(resource)?.holder;
      const isOwnedByActivePeer =
        owner && activeVms.includes(owner.vmId) && owner.vmId !== self.vmId;
      return !isOwnedByActivePeer && pickByRendezvous(resource, activeVms) === self.vmId;
    });
  }

  private listReleasable(): readonly string[] {
    const { leases, self, listActiveVms } = this.options;
    const activeVms = listActiveVms();
    const nowMs = performance.now();
    return leases.table
      .listOwned(self)
      .map(({ resource }) => resource)
      .filter((resource) => {
        if (pickByRendezvous(resource, activeVms) === self.vmId) {
          this.misplacedSinceMs.delete(resource);
          return false;
        }
        const sinceMs = this.misplacedSinceMs.get(resource) ?? nowMs;
        this.misplacedSinceMs.set(resource, sinceMs);
        return nowMs - sinceMs >= REBALANCE_DELAY_MS;
      });
  }
}
