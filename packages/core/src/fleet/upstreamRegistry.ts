import type { ServiceName, UpstreamId } from '../ids.js';
import { LAPSE_GRACE_MS } from './constants.js';
import type { PeerLoads } from './peerLoads.js';
import type { RegisteredUpstream } from './registeredUpstream.js';
import { TrackedUpstream } from './trackedUpstream.js';

/** One record of the registry. */
export type RegistryChange =
  | { readonly kind: 'present'; readonly upstream: RegisteredUpstream }
  /** The entry is removed, or names no usable upstream. */
  | { readonly kind: 'absent'; readonly upstreamId: UpstreamId };

const isOlder = (next: RegisteredUpstream, known: RegisteredUpstream): boolean =>
  next.startedAtMs < known.startedAtMs ||
  (next.startedAtMs === known.startedAtMs && next.heartbeat < known.heartbeat);

/**
 * Upstreams that the registry lists. Entries that lapse while the log is away count as present
 * for a short time after its return, since a living upstream registers again within that time.
 */
export class UpstreamRegistry {
  private readonly upstreams = new Map<UpstreamId, TrackedUpstream>();

  private readonly removals = new Map<UpstreamId, number>();

  private outageEndedAtMs = -Infinity;

  /** @param peerLoads what the other VMs have in flight */
  constructor(private readonly peerLoads: PeerLoads) {}

  /** Tells it that the log answers again after an outage. */
  noteLogReturn(): void {
    this.outageEndedAtMs = performance.now();
  }

  /** @returns whether the change has an effect beyond a heartbeat */
  apply(change: RegistryChange): boolean {
    if (change.kind === 'absent') return this.applyAbsence(change.upstreamId);
    const { upstream } = change;
    const known = this.upstreams.get(upstream.upstreamId);
    if (known && isOlder(upstream, known.registered)) return false;
    this.removals.delete(upstream.upstreamId);
    if (known) return known.update(upstream);
    this.upstreams.set(upstream.upstreamId, new TrackedUpstream(upstream, this.peerLoads));
    return true;
  }

  /** Takes a complete list of the registry; what is not on it is absent. */
  replaceAll(upstreams: readonly RegisteredUpstream[]): void {
    const listed = new Set(upstreams.map(({ upstreamId }) => upstreamId));
    upstreams.forEach((upstream) => this.apply({ kind: 'present', upstream }));
    [...this.upstreams.keys()]
      .filter((upstreamId) => !listed.has(upstreamId))
      .forEach((upstreamId) => this.applyAbsence(upstreamId));
  }

  /** Takes out the upstreams whose grace has ended. */
  expireRemovals(): void {
    const nowMs = performance.now();
    this.removals.forEach((dueAtMs, upstreamId) => {
      if (dueAtMs > nowMs) return;
      this.removals.delete(upstreamId);
      this.upstreams.delete(upstreamId);
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

  private applyAbsence(upstreamId: UpstreamId): boolean {
    if (!this.upstreams.has(upstreamId)) return false;
    const graceEndsAtMs = this.outageEndedAtMs + LAPSE_GRACE_MS;
    if (performance.now() < graceEndsAtMs) {
      if (!this.removals.has(upstreamId)) this.removals.set(upstreamId, graceEndsAtMs);
      return false;
    }
    this.removals.delete(upstreamId);
    return this.upstreams.delete(upstreamId);
  }
}
