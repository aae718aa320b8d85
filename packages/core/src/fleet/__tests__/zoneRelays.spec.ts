import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { AvailabilityZoneId, VmId } from '../../ids.js';
import { pickCallerEntries } from '../callerEntries.js';
import { EntryRoster } from '../entryRoster.js';
import { ZoneRelays } from '../zoneRelays.js';
import { makeHeartbeat } from './fixtures.js';

const ZONES = ['z1', 'z2', 'z3'] as const;

const toZone = (name: string) => toId<AvailabilityZoneId>(name);

const fillRoster = (vms: number, sizeOf: (index: number) => number = () => 1): EntryRoster => {
  const roster = new EntryRoster();
  for (let index = 0; index < vms; index += 1) {
    roster.recordHeartbeat(
      makeHeartbeat(`vm-${index}`, {
        availabilityZone: toZone(ZONES[index % ZONES.length]!),
        size: sizeOf(index),
      }),
    );
  }
  return roster;
};

const createRelays = (roster: EntryRoster, self = 'vm-0', zone = 'z1') =>
  new ZoneRelays(roster, toId<VmId>(self), toZone(zone));

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

test('a very small fleet has no relays', () => {
  const relays = createRelays(fillRoster(3));
  expect(relays.isAggregating).toBe(false);
  expect(relays.listAllFeeds()).toEqual([]);
});

test('every fleet from four VMs on has two relays per group that read for the others', () => {
  [4, 9, 13, 19, 20, 40].forEach((vms) => {
    const roster = fillRoster(vms);
    const views = Array.from({ length: vms }, (_value, index) =>
      createRelays(roster, `vm-${index}`, ZONES[index % ZONES.length]),
    );
    const groups = vms < 20 ? 1 : ZONES.length;
    expect(views[0]!.listAllFeeds()).toHaveLength(2 * groups);
    expect(views.filter(({ isFeedRelay }) => isFeedRelay)).toHaveLength(2 * groups);
    expect(views.every((view) => view.listOwnFeed().length === 2)).toBe(true);
  });
});

test('the relays of a small fleet are in different zones', () => {
  const relays = createRelays(fillRoster(9, (index) => (index % 3 === 0 ? 5 : 1)));
  const zones = relays.listOwnFeed().map(({ availabilityZone }) => availabilityZone);
  expect(new Set(zones).size).toBe(2);
  expect(relays.isAggregating).toBe(false);
});

test('all VMs of a large fleet select the same two relays per zone, the largest first', () => {
  const roster = fillRoster(90, (index) => (index === 33 ? 8 : 1 + (index % 2)));
  const views = [0, 1, 2, 44].map((index) =>
    createRelays(roster, `vm-${index}`, ZONES[index % ZONES.length]),
  );
  const all = views.map((view) => view.listAllGroups().map(({ vmId }) => vmId));
  expect(new Set(all.map((one) => one.join()))).toHaveProperty('size', 1);
  expect(all[0]).toHaveLength(6);
  expect(views[0]!.listOwnGroup()[0]!.vmId).toBe('vm-33');
  expect(views[0]!.listOtherGroups().map(({ availabilityZone }) => availabilityZone)).not.toContain(
    'z1',
  );
});

test('a relay that stops sending heartbeats is replaced', () => {
  const roster = fillRoster(30);
  const relays = createRelays(roster);
  const [first, second] = relays.listOwnGroup().map(({ vmId }) => vmId);
  vi.advanceTimersByTime(3_000);
  for (let index = 0; index < 30; index += 1) {
    const vmId = `vm-${index}`;
    if (vmId !== first) {
      roster.recordHeartbeat(
        makeHeartbeat(vmId, { availabilityZone: toZone(ZONES[index % ZONES.length]!) }),
      );
    }
  }
  vi.advanceTimersByTime(1_000);
  expect(relays.listOwnGroup()[0]!.vmId).toBe(second);
});

/** Zones of 28 VMs with small links and two with large ones; those of z2 are lost. */
const fillMixedRoster = (): EntryRoster => {
  const roster = new EntryRoster();
  ZONES.forEach((zone) => {
    for (let index = zone === 'z2' ? 2 : 0; index < 30; index += 1) {
      const isLarge = index < 2;
      roster.recordHeartbeat(
        makeHeartbeat(`${zone}-${index}`, {
          availabilityZone: toZone(zone),
          size: isLarge ? 189 : 2.3,
          linkMbps: isLarge ? 140 : 7,
        }),
      );
    }
  });
  return roster;
};

// Guards against a small VM that becomes the relay of a zone and whose requests then wait behind what it relays.
test('a zone that lost its large VMs is relayed by those of another zone', () => {
  const roster = fillMixedRoster();
  const views = ZONES.map((zone) => createRelays(roster, `${zone}-5`, zone));
  views.forEach((view) => {
    expect(view.listOwnGroup().map(({ linkMbps }) => linkMbps)).toEqual([140, 140]);
    expect(view.listOwnFeed()).toEqual(view.listOwnGroup());
    expect(view.listAllGroups()).toHaveLength(4);
  });
  expect(createRelays(roster, 'z2-5', 'z2').listOtherGroups()).toHaveLength(2);
});

// Guards against no relays at all where every VM has a small link.
test('a fleet of small links has relays in each zone', () => {
  const roster = new EntryRoster();
  for (let index = 0; index < 60; index += 1) {
    const availabilityZone = toZone(ZONES[index % ZONES.length]!);
    roster.recordHeartbeat(makeHeartbeat(`vm-${index}`, { availabilityZone, linkMbps: 7 }));
  }
  expect(createRelays(roster).listAllGroups()).toHaveLength(6);
});

test('callers get the VMs of their own zone if there are enough', () => {
  const serving = fillRoster(90).listServing();
  const question = { nowMs: 0, isSilent: () => false };
  expect(pickCallerEntries(serving, { ...question, zone: 'z2' })).toHaveLength(30);
  expect(pickCallerEntries(serving, { ...question, zone: 'elsewhere' })).toHaveLength(64);
  const few = fillRoster(9).listServing();
  expect(pickCallerEntries(few, { ...question, zone: 'z2' })).toHaveLength(9);
});
