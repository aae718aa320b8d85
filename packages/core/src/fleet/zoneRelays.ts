import type { AvailabilityZoneId, VmId } from '../ids.js';
import { rankByRendezvous } from '../membership/rendezvous.js';
import { RELAYS_PER_ZONE, RELAY_MIN_VMS, RELAY_PLAN_MS } from './constants.js';
import type { EntryHeartbeat, EntryRoster } from './entryRoster.js';

const rankRelays = (
  zone: AvailabilityZoneId,
  entries: readonly EntryHeartbeat[],
): readonly EntryHeartbeat[] => {
  const order = rankByRendezvous(
    zone,
    entries.map(({ vmId }) => vmId),
  );
  const ranks = new Map(order.map((vmId, rank) => [vmId, rank]));
  return [...entries].sort(
    (left, right) => right.size - left.size || ranks.get(left.vmId)! - ranks.get(right.vmId)!,
  );
};

/**
 * Chooses the VMs that read the log and the stores' events for their zone, and that tell the other
 * zones what it has in flight. All VMs agree on them by the heartbeats, without a message.
 *
 * Load pattern: what every VM tells every other, and asks of the platform, grows with the square
 * of the fleet.
 */
export class ZoneRelays {
  private plan: ReadonlyMap<AvailabilityZoneId, readonly EntryHeartbeat[]> = new Map();

  private plannedAtMs = -Infinity;

  constructor(
    private readonly roster: EntryRoster,
    private readonly self: VmId,
    private readonly zone: AvailabilityZoneId,
  ) {}

  /** Whether the fleet is so large that zones have relays. */
  get isNeeded(): boolean {
    return this.getPlan().size > 0;
  }

  /** Whether this VM is one of its zone's relays. */
  get isSelf(): boolean {
    return this.listOwn().some(({ vmId }) => vmId === this.self);
  }

  /** Lists the relays of this VM's zone; the first is in charge while it is heard. */
  listOwn(): readonly EntryHeartbeat[] {
    return this.getPlan().get(this.zone) ?? [];
  }

  /** Lists the relays of the other zones. */
  listForeign(): readonly EntryHeartbeat[] {
    return [...this.getPlan()].flatMap(([zone, relays]) => (zone === this.zone ? [] : relays));
  }

  /** Lists the relays of all zones. */
  listAll(): readonly EntryHeartbeat[] {
    return [...this.getPlan().values()].flat();
  }

  private getPlan(): ReadonlyMap<AvailabilityZoneId, readonly EntryHeartbeat[]> {
    const nowMs = performance.now();
    if (nowMs - this.plannedAtMs < RELAY_PLAN_MS) return this.plan;
    this.plannedAtMs = nowMs;
    const serving = this.roster.listServing();
    const zones = [...new Set(serving.map(({ availabilityZone }) => availabilityZone))];
    const isNeeded = serving.length >= RELAY_MIN_VMS;
    this.plan = new Map(
      (isNeeded ? zones : []).map((zone) => {
        const members = serving.filter(({ availabilityZone }) => availabilityZone === zone);
        return [zone, rankRelays(zone, members).slice(0, RELAYS_PER_ZONE)];
      }),
    );
    return this.plan;
  }
}
