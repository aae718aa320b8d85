import type { AvailabilityZoneId, VmId } from '../ids.js';
import { rankByRendezvous } from '../membership/rendezvous.js';
import {
  MIN_FEED_FLEET_SIZE,
  MIN_RELAY_FLEET_SIZE,
  RELAYS_PER_GROUP,
  RELAY_LINK_MBPS_PER_VM,
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

/** VMs that share relays: those of one zone, or of several if some have no VM that can relay. */
interface RelayGroup {
  readonly zones: readonly AvailabilityZoneId[];
  readonly members: readonly EntryHeartbeat[];
  readonly relays: readonly EntryHeartbeat[];
}

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

/** Lists the VMs whose links carry what a relay of that many VMs sends. */
const listCapable = (
  entries: readonly EntryHeartbeat[],
  memberCount: number,
): readonly EntryHeartbeat[] =>
  entries.filter(
    ({ linkMbps }) => linkMbps === undefined || linkMbps >= memberCount * RELAY_LINK_MBPS_PER_VM,
  );

const createGroup = (
  zone: AvailabilityZoneId,
  members: readonly EntryHeartbeat[],
  candidates: readonly EntryHeartbeat[],
): RelayGroup => ({
  zones: [zone],
  members,
  relays: rankRelays(zone, candidates).slice(0, RELAYS_PER_GROUP),
});

/** Adds the VMs of a zone to a group; undefined if the group's relays can't carry them as well. */
const joinGroup = (
  group: RelayGroup,
  zone: AvailabilityZoneId,
  added: readonly EntryHeartbeat[],
): RelayGroup | undefined => {
  const members = [...group.members, ...added];
  const relays = listCapable(group.relays, members.length);
  return relays.length === 0 ? undefined : { zones: [...group.zones, zone], members, relays };
};

/**
 * Creates a group of each zone. A zone without a VM that can relay joins the group of another zone; if
 * none can carry it, its largest VMs relay as far as their links allow.
 */
const createGroups = (entries: readonly EntryHeartbeat[]): readonly RelayGroup[] => {
  const zones = [...groupByZone(entries)].sort(([left], [right]) => (left < right ? -1 : 1));
  const groups = new Map<AvailabilityZoneId, RelayGroup>();
  zones.forEach(([zone, members]) => {
    const capable = listCapable(members, members.length);
    if (capable.length > 0) groups.set(zone, createGroup(zone, members, capable));
  });
  zones
    .filter(([zone]) => !groups.has(zone))
    .forEach(([zone, members]) => {
      // Different zones join different groups where they can.
      const hosts = rankByRendezvous(zone, [...groups.keys()]);
      const joined = hosts
        .map((host) => [host, joinGroup(groups.get(host)!, zone, members)] as const)
        .find(([, group]) => group !== undefined);
      if (joined?.[1]) groups.set(joined[0], joined[1]);
      else groups.set(zone, createGroup(zone, members, members));
    });
  return [...groups.values()];
};

/**
 * Selects the relay VMs that read the log and the stores' events on behalf of a group, and, in a
 * large fleet, report the load of their group to the other groups. The groups are the zones of a
 * large fleet; a small fleet is a single group. All VMs derive the same relays from the heartbeats,
 * without coordination.
 *
 * Relays avoid all-to-all messages and per-VM platform requests, which grow with the square of the
 * fleet size.
 */
export class ZoneRelays {
  /** Groups of a large fleet; empty in a small one. */
  private groups: readonly RelayGroup[] = [];

  private fleetRelays: readonly EntryHeartbeat[] = [];

  private serving: readonly EntryHeartbeat[] = [];

  private selectedAtMs = -Infinity;

  constructor(
    private readonly roster: EntryRoster,
    private readonly self: VmId,
    private readonly zone: AvailabilityZoneId,
  ) {}

  /** Whether the fleet is large enough for relays to aggregate the load of their groups. */
  get isAggregating(): boolean {
    this.update();
    return this.groups.length > 0;
  }

  /** Whether this VM aggregates the load of its group. */
  get isGroupRelay(): boolean {
    return this.listOwnGroup().some(({ vmId }) => vmId === this.self);
  }

  /** Whether this VM reads the log and the stores for its group. */
  get isFeedRelay(): boolean {
    return this.listOwnFeed().some(({ vmId }) => vmId === this.self);
  }

  /** Lists the relays that read for this VM's group; empty in a very small fleet. */
  listOwnFeed(): readonly EntryHeartbeat[] {
    this.update();
    return this.groups.length > 0 ? this.listOwnGroup() : this.fleetRelays;
  }

  /** Lists the relays that read for any group. */
  listAllFeeds(): readonly EntryHeartbeat[] {
    this.update();
    return this.groups.length > 0 ? this.listAllGroups() : this.fleetRelays;
  }

  /** Lists the relays of this VM's group; the first is the active one while it is alive. */
  listOwnGroup(): readonly EntryHeartbeat[] {
    this.update();
    return this.groups.find(({ zones }) => zones.includes(this.zone))?.relays ?? [];
  }

  /** Lists the relays of the other groups. */
  listOtherGroups(): readonly EntryHeartbeat[] {
    this.update();
    return this.groups
      .filter(({ zones }) => !zones.includes(this.zone))
      .flatMap(({ relays }) => relays);
  }

  /** Lists the relays of all groups. */
  listAllGroups(): readonly EntryHeartbeat[] {
    this.update();
    return this.groups.flatMap(({ relays }) => relays);
  }

  /** Whether the VMs of a zone are in this VM's group. */
  isOwnGroup(zone: AvailabilityZoneId | undefined): boolean {
    if (zone === undefined || zone === this.zone) return zone === this.zone;
    this.update();
    return this.groups.some(({ zones }) => zones.includes(zone) && zones.includes(this.zone));
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
    this.groups = isAggregating ? createGroups(serving) : [];
    const isFeeding = !isAggregating && serving.length >= MIN_FEED_FLEET_SIZE;
    this.fleetRelays = isFeeding ? pickAcrossZones(serving) : [];
  }
}
