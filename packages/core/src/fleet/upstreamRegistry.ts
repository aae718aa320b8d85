import type { ServiceName, UpstreamId } from '../ids.js';
import { LOG_OUTAGE_GRACE_MS, MAX_LEAVING_BOOTS, MAX_UPSTREAMS } from './constants.js';
import type { PeerLoads } from './peerLoads.js';
import type { RegisteredUpstream } from './registeredUpstream.js';
import { ServiceSpeed } from './serviceSpeed.js';
import { TrackedUpstream } from './trackedUpstream.js';

/** A change of a registry entry. */
export type RegistryChange =
  | { readonly kind: 'present'; readonly upstream: RegisteredUpstream }
  /** The entry was removed, or does not describe a usable upstream and tells why. */
  | { readonly kind: 'absent'; readonly upstreamId: UpstreamId; readonly invalid?: string };

/** Learns which upstreams take requests. */
export interface UpstreamMembership {
  /** An upstream is listed, or has restarted and is another process now. */
  readonly onJoin: (upstream: RegisteredUpstream) => void;
  /** An upstream leaves, or is not listed any more. */
  readonly onLeave: (upstreamId: UpstreamId) => void;
}

const isStale = (next: RegisteredUpstream, current: RegisteredUpstream): boolean =>
  next.startedAtMs < current.startedAtMs ||
  (next.startedAtMs === current.startedAtMs && next.heartbeat < current.heartbeat);

/**
 * Upstreams listed in the registry. Entries that expire during a log outage still count as present
 * for a short time afterwards, because a live upstream registers again within that time.
 */
export class UpstreamRegistry {
  private readonly upstreams = new Map<UpstreamId, TrackedUpstream>();

  private readonly serviceSpeeds = new Map<ServiceName, ServiceSpeed>();

  private readonly pendingRemovals = new Map<UpstreamId, number>();

  /** Boot times of upstreams that announced that they leave, which outlast their registry entries. */
  private readonly leavingBoots = new Map<UpstreamId, number>();

  private ignored = 0;

  private outageEndedAtMs = -Infinity;

  /** @param peerLoads load reported by the other VMs */
  constructor(
    private readonly peerLoads: PeerLoads,
    private readonly membership?: UpstreamMembership,
  ) {}

  /** Records that the log is available again after an outage. */
  recordLogRecovery(): void {
    this.outageEndedAtMs = performance.now();
  }

  /** @returns whether anything other than the heartbeat has changed */
  apply(change: RegistryChange): boolean {
    if (change.kind === 'absent') return this.applyRemoval(change.upstreamId);
    const { upstream } = change;
    const known = this.upstreams.get(upstream.upstreamId);
    if (known && isStale(upstream, known.registered)) return false;
    this.pendingRemovals.delete(upstream.upstreamId);
    if (known) {
      const wasLeaving = known.isLeaving;
      const { startedAtMs } = known.registered;
      const hasChanged = known.update(upstream);
      const hasJoined = wasLeaving !== known.isLeaving || startedAtMs !== upstream.startedAtMs;
      if (hasJoined) this.reportMembership(known);
      return hasChanged;
    }
    if (this.upstreams.size >= MAX_UPSTREAMS) {
      this.ignored += 1;
      return false;
    }
    const created = new TrackedUpstream(
      upstream,
      this.peerLoads,
      this.requireServiceSpeed(upstream.service),
    );
    if (this.leavingBoots.get(upstream.upstreamId) === upstream.startedAtMs) created.markLeaving();
    this.upstreams.set(upstream.upstreamId, created);
    this.reportMembership(created);
    return true;
  }

  /**
   * Records that an upstream announced that it leaves. It stays excluded until it restarts, even if
   * its registry entry expires and comes back.
   *
   * @param startedAtMs boot that announced it, by the upstream's clock
   * @returns whether this is a change
   */
  recordLeaving(upstreamId: UpstreamId, startedAtMs: number): boolean {
    this.leavingBoots.delete(upstreamId);
    this.leavingBoots.set(upstreamId, startedAtMs);
    if (this.leavingBoots.size > MAX_LEAVING_BOOTS) {
      this.leavingBoots.delete(this.leavingBoots.keys().next().value!);
    }
    const upstream = this.upstreams.get(upstreamId);
    if (upstream?.registered.startedAtMs !== startedAtMs || !upstream.markLeaving()) return false;
    this.reportMembership(upstream);
    return true;
  }

  /** Gives the number of entries that were ignored since the last call, because the registry is full. */
  takeIgnored(): number {
    const { ignored } = this;
    this.ignored = 0;
    return ignored;
  }

  /** Applies a complete list of registry entries; upstreams not in it count as absent. */
  replaceAll(upstreams: readonly RegisteredUpstream[]): void {
    const listed = new Set(upstreams.map(({ upstreamId }) => upstreamId));
    // Before the others, which may need their room.
    [...this.upstreams.keys()]
      .filter((upstreamId) => !listed.has(upstreamId))
      .forEach((upstreamId) => this.applyRemoval(upstreamId));
    upstreams.forEach((upstream) => this.apply({ kind: 'present', upstream }));
  }

  /** Removes upstreams whose grace period has ended. */
  expireRemovals(): void {
    const nowMs = performance.now();
    this.pendingRemovals.forEach((dueAtMs, upstreamId) => {
      if (dueAtMs > nowMs) return;
      this.remove(upstreamId);
    });
  }

  find(upstreamId: UpstreamId): TrackedUpstream | undefined {
    return this.upstreams.get(upstreamId);
  }

  list(): readonly TrackedUpstream[] {
    return [...this.upstreams.values()];
  }

  listService(service: ServiceName): readonly TrackedUpstream[] {
    return this.list().filter(({ registered }) => registered.service === service);
  }

  private requireServiceSpeed(service: ServiceName): ServiceSpeed {
    const speed = this.serviceSpeeds.get(service) ?? new ServiceSpeed();
    this.serviceSpeeds.set(service, speed);
    return speed;
  }

  private applyRemoval(upstreamId: UpstreamId): boolean {
    if (!this.upstreams.has(upstreamId)) return false;
    const graceEndsAtMs = this.outageEndedAtMs + LOG_OUTAGE_GRACE_MS;
    if (performance.now() < graceEndsAtMs) {
      if (!this.pendingRemovals.has(upstreamId))
        this.pendingRemovals.set(upstreamId, graceEndsAtMs);
      return false;
    }
    return this.remove(upstreamId);
  }

  private remove(upstreamId: UpstreamId): boolean {
    this.pendingRemovals.delete(upstreamId);
    this.membership?.onLeave(upstreamId);
    return this.upstreams.delete(upstreamId);
  }

  private reportMembership({ isLeaving, registered }: TrackedUpstream): void {
    if (isLeaving) this.membership?.onLeave(registered.upstreamId);
    else this.membership?.onJoin(registered);
  }
}
