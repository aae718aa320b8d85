import type { AvailabilityZoneId, VmId } from '../ids.js';
import { rankByRendezvous } from '../membership/rendezvous.js';
import {
  MIN_FEED_FLEET_SIZE,
  MIN_RELAY_FLEET_SIZE,
  RELAYS_PER_GROUP,
  RELAY_SELECTION_TTL_MS,
} from './constants.js';
import type { EntryHeartbeat, EntryRoster } from './entryRoster.js';

/** Rendezvous hashing key of the group that a small fleet forms. */
const FLEET_KEY = 'fleet';

const rankRelays = (key: string, entries: readonly EntryHeartbeat[]): readonly EntryHeartbeat[] => {
  const order = rankByRendezvous(
    key,
    entries.map(({ vmId }) => vmId),
  );
  const ranks = new Map(order.map((vmId, rank) => [vmId, rank]));
  return [...entries].sort(
    (left, right) => right.size - left.size || ranks.get(left.vmId)! - ranks.get(right.vmId)!,
  );
};

/** Selects relays of a group from different zones, so that it keeps one if a zone is lost. */
const pickAcrossZones = (entries: readonly EntryHeartbeat[]): readonly EntryHeartbeat[] => {
  const ranked = rankRelays(FLEET_KEY, entries);
  const zones = new Set<AvailabilityZoneId>();
  const [spread, rest] = [[], []] as [EntryHeartbeat[], EntryHeartbeat[]];
  ranked.forEach((entry) => {
    (zones.has(entry.availabilityZone) ? rest : spread).push(entry);
    zones.add(entry.availabilityZone);
  });
  return [...spread, ...rest].slice(0, RELAYS_PER_GROUP);
};

const isSameList = (left: readonly EntryHeartbeat[], right: readonly EntryHeartbeat[]): boolean =>
  left.length === right.length && left.every((entry, index) => entry === right[index]);

/** Groups VMs by zone. */
const groupByZone = (
  entries: readonly EntryHeartbeat[],
): ReadonlyMap<AvailabilityZoneId, readonly EntryHeartbeat[]> => {
  const groups = new Map<AvailabilityZoneId, EntryHeartbeat[]>();
  entries.forEach((entry) => {
    const group = groups.get(entry.availabilityZone) ?? [];
    group.push(entry);
    groups.set(entry.availabilityZone, group);
  });
  return groups;
};

/**
 * Selects the relay VMs that read the log and the stores' events on behalf of a group, and, in a
 * large fleet, report the load of their zone to the other zones. The groups are the zones of a large
 * fleet; a small fleet is a single group. All VMs derive the same relays from the heartbeats,
 * without coordination.
 *
 * Relays avoid all-to-all messages and per-VM platform requests, which grow with the square of the
 * fleet size.
 */
export class ZoneRelays {
  private relaysByZone: ReadonlyMap<AvailabilityZoneId, readonly EntryHeartbeat[]> = new Map();

  private fleetRelays: readonly EntryHeartbeat[] = [];

  private serving: readonly EntryHeartbeat[] = [];

  private selectedAtMs = -Infinity;

  constructor(
    private readonly roster: EntryRoster,
    private readonly self: VmId,
    private readonly zone: AvailabilityZoneId,
  ) {}

  /** Whether the fleet is large enough for relays to aggregate the load of their zones. */
  get isAggregating(): boolean {
    this.update();
    return this.relaysByZone.size > 0;
  }

  /** Whether this VM aggregates the load of its zone. */
  get isZoneRelay(): boolean {
    return this.listOwnZone().some(({ vmId }) => vmId === this.self);
  }

  /** Whether this VM reads the log and the stores for its group. */
  get isFeedRelay(): boolean {
    return this.listOwnFeed().some(({ vmId }) => vmId === this.self);
  }

  /** Lists the relays that read for this VM's group; empty in a very small fleet. */
  listOwnFeed(): readonly EntryHeartbeat[] {
    this.update();
    return this.relaysByZone.size > 0 ? this.listOwnZone() : this.fleetRelays;
  }

  /** Lists the relays that read for any group. */
  listAllFeeds(): readonly EntryHeartbeat[] {
    this.update();
    return this.relaysByZone.size > 0 ? this.listAllZones() : this.fleetRelays;
  }

  /** Lists the relays of this VM's zone; the first is the active one while it is alive. */
  listOwnZone(): readonly EntryHeartbeat[] {
    this.update();
    return this.relaysByZone.get(this.zone) ?? [];
  }

  /** Lists the relays of the other zones. */
  listOtherZones(): readonly EntryHeartbeat[] {
    this.update();
    return [...this.relaysByZone].flatMap(([zone, relays]) => (zone === this.zone ? [] : relays));
  }

  /** Lists the relays of all zones. */
  listAllZones(): readonly EntryHeartbeat[] {
    this.update();
    return [...this.relaysByZone.values()].flat();
  }

  private update(): void {
    const nowMs = performance.now();
    if (nowMs - this.selectedAtMs < RELAY_SELECTION_TTL_MS) return;
    this.selectedAtMs = nowMs;
    const serving = this.roster.listServing();
    // Ranking a large fleet takes far longer than this comparison, and most often nothing changed.
    if (isSameList(serving, this.serving)) return;
    this.serving = serving;
    const isAggregating = serving.length >= MIN_RELAY_FLEET_SIZE;
    const groups = isAggregating ? [...groupByZone(serving)] : [];
    this.relaysByZone = new Map(
      groups.map(([zone, members]) => [zone, rankRelays(zone, members).slice(0, RELAYS_PER_GROUP)]),
    );
    const isFeeding = !isAggregating && serving.length >= MIN_FEED_FLEET_SIZE;
    this.fleetRelays = isFeeding ? pickAcrossZones(serving) : [];
  }
}
