import type { AvailabilityZoneId, VmId } from '../ids.js';
import { rankByRendezvous } from '../membership/rendezvous.js';
import { RELAYS_PER_ZONE, MIN_RELAY_FLEET_SIZE, RELAY_SELECTION_TTL_MS } from './constants.js';
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
 * Selects the relay VMs that read the log and the stores' events on behalf of their zone and report
 * its load to the other zones. All VMs derive the same relays from the heartbeats, without
 * coordination.
 *
 * Relays avoid all-to-all messages and per-VM platform requests, which grow with the square of the
 * fleet size.
 */
export class ZoneRelays {
  private relaysByZone: ReadonlyMap<AvailabilityZoneId, readonly EntryHeartbeat[]> = new Map();

  private selectedAtMs = -Infinity;

  constructor(
    private readonly roster: EntryRoster,
    private readonly self: VmId,
    private readonly zone: AvailabilityZoneId,
  ) {}

  /** Whether the fleet is large enough to need zone relays. */
  get isNeeded(): boolean {
    return this.getRelays().size > 0;
  }

  /** Whether this VM is one of its zone's relays. */
  get isRelay(): boolean {
    return this.listOwnZone().some(({ vmId }) => vmId === this.self);
  }

  /** Lists the relays of this VM's zone; the first is the active one while it is alive. */
  listOwnZone(): readonly EntryHeartbeat[] {
    return this.getRelays().get(this.zone) ?? [];
  }

  /** Lists the relays of the other zones. */
  listOtherZones(): readonly EntryHeartbeat[] {
    return [...this.getRelays()].flatMap(([zone, relays]) => (zone === this.zone ? [] : relays));
  }

  /** Lists the relays of all zones. */
  listAll(): readonly EntryHeartbeat[] {
    return [...this.getRelays().values()].flat();
  }

  private getRelays(): ReadonlyMap<AvailabilityZoneId, readonly EntryHeartbeat[]> {
    const nowMs = performance.now();
    if (nowMs - this.selectedAtMs < RELAY_SELECTION_TTL_MS) return this.relaysByZone;
    this.selectedAtMs = nowMs;
    const serving = this.roster.listServing();
    const zones = [...new Set(serving.map(({ availabilityZone }) => availabilityZone))];
    const isNeeded = serving.length >= MIN_RELAY_FLEET_SIZE;
    this.relaysByZone = new Map(
      (isNeeded ? zones : []).map((zone) => {
        const members = serving.filter(({ availabilityZone }) => availabilityZone === zone);
        return [zone, rankRelays(zone, members).slice(0, RELAYS_PER_ZONE)];
      }),
    );
    return this.relaysByZone;
  }
}
