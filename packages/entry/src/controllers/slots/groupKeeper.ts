import { LEASE_RENEW_INTERVAL_MS, listSlotGroups, pickByRendezvous } from '@goldcrestscale/core';
import type { LeaseKeeper, VmId } from '@goldcrestscale/core';
import type { PeerIdentity } from '../../mesh/index.js';
import { GROUP_CHECK_INTERVAL_MS, REBALANCE_AFTER_MS } from './constants.js';

/** What a group keeper needs. */
export interface GroupKeeperOptions {
  readonly self: PeerIdentity;
  readonly leases: LeaseKeeper;
  /** Entry VMs that are alive and not leaving, this one included. */
  readonly listLive: () => readonly VmId[];
  /** Resources that are kept besides the slot groups. */
  readonly resources?: readonly string[];
}

/** Claims the groups that rendezvous hashing gives to this VM, and releases those it does not. */
export class GroupKeeper {
  private readonly groups: readonly string[];

  private readonly strangeSinceMs = new Map<string, number>();

  private isLeaving = false;

  constructor(private readonly options: GroupKeeperOptions) {
    this.groups = [...listSlotGroups(), ...(options.resources ?? [])];
  }

  /** Keeps the leases until the signal aborts. */
  start(signal: AbortSignal): void {
    const { leases } = this.options;
    const run = (work: () => Promise<void>): void => {
      // A log that does not answer is tried again at the next turn.
      work().catch(() => undefined);
    };
    run(() => leases.follow(signal));
    run(() => this.renew(signal));
    const timers = [
      setInterval(() => run(() => this.renew(signal)), LEASE_RENEW_INTERVAL_MS),
      setInterval(() => run(() => this.runStep(signal)), GROUP_CHECK_INTERVAL_MS),
    ];
    signal.addEventListener('abort', () => timers.forEach((timer) => clearInterval(timer)), {
      once: true,
    });
  }

  /** Releases everything and claims nothing more. */
  async leave(signal: AbortSignal): Promise<void> {
    this.isLeaving = true;
    await this.options.leases.release(this.groups, signal);
  }

  private async renew(signal: AbortSignal): Promise<void> {
    const { leases, self } = this.options;
    const isNeeded = leases.table.listOwned(self).length > 0 || this.listClaimable().length > 0;
    if (isNeeded) await leases.renew(signal);
  }

  private async runStep(signal: AbortSignal): Promise<void> {
    const { leases } = this.options;
    if (!leases.isReady) return;
    await leases.claim(this.listClaimable(), signal);
    await leases.release(this.listReleasable(), signal);
  }

  private listClaimable(): readonly string[] {
    if (this.isLeaving) return [];
    const { leases, self, listLive } = this.options;
    const live = listLive();
    return this.groups.filter((group) => {
      const owner = leases.table.getOwner(group)?.holder;
      const isOwnerLive = owner && live.includes(owner.vmId) && owner.vmId !== self.vmId;
      return !isOwnerLive && pickByRendezvous(group, live) === self.vmId;
    });
  }

  private listReleasable(): readonly string[] {
    const { leases, self, listLive } = this.options;
    const live = listLive();
    const nowMs = performance.now();
    return leases.table
      .listOwned(self)
      .map(({ resource }) => resource)
      .filter((group) => {
        if (pickByRendezvous(group, live) === self.vmId) {
          this.strangeSinceMs.delete(group);
          return false;
        }
        const sinceMs = this.strangeSinceMs.get(group) ?? nowMs;
        this.strangeSinceMs.set(group, sinceMs);
        return nowMs - sinceMs >= REBALANCE_AFTER_MS;
      });
  }
}
