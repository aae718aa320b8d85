import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { VmId } from '../../ids.js';
import { CallerShare } from '../callerShare.js';
import { pickCallerEntries } from '../callerEntries.js';
import { EntryRoster } from '../entryRoster.js';
import type { EntryHeartbeat } from '../entryRoster.js';
import { makeHeartbeat } from './fixtures.js';

const ZONE = 'z1';
const VMS = 21;
const SMALL_VMS = 7;
const HEARTBEAT_MS = 1_400;

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

/** A zone with VMs of a third of a core beside VMs of a whole one. */
const makeZone = (fields: (isSmall: boolean) => Partial<EntryHeartbeat> = () => ({})) =>
  Array.from({ length: VMS }, (_item, index) => {
    const isSmall = index < SMALL_VMS;
    return makeHeartbeat(`vm-${index}`, { size: isSmall ? 0.33 : 1, ...fields(isSmall) });
  });

const listPicked = (
  entries: readonly EntryHeartbeat[],
  nowMs = 0,
  isSilent: (vmId: VmId) => boolean = () => false,
): readonly string[] =>
  pickCallerEntries(entries, { zone: ZONE, nowMs, isSilent }).map(({ vmId }) => vmId);

/**
 * Has callers pick among the answers, the demand of each second in units of work of one large VM.
 *
 * @returns utilization of a small and of a large VM in the last 20 s, and the changes of the answers
 */
const simulateZone = (demand: number, isReporting = true, seconds = 80) => {
  const shares = Array.from({ length: VMS }, () => new CallerShare());
  const names = makeZone().map(({ vmId }) => vmId);
  const work = new Map<string, number>();
  const totals = new Map<string, number>();
  let entries: readonly EntryHeartbeat[] = makeZone();
  let nextBeatMs = HEARTBEAT_MS;
  let changes = 0;
  let before: readonly string[] = names;
  for (let second = 0; second < seconds; second += 1) {
    const picked = listPicked(entries, second * 1_000);
    changes += before.filter((name) => !picked.includes(name)).length;
    before = picked;
    picked.forEach((name) => {
      work.set(name, (work.get(name) ?? 0) + demand / picked.length);
      if (second >= seconds - 20)
        totals.set(name, (totals.get(name) ?? 0) + demand / picked.length / 20);
    });
    if (isReporting && second * 1_000 >= nextBeatMs) {
      // Two seconds, so that a VM which is left out every other time is measured over both.
      nextBeatMs += 2_000;
      entries = makeZone().map((entry, index) => {
        const capacity = 2 * (index < SMALL_VMS ? 0.33 : 1);
        shares[index]!.update(Math.min(1, (work.get(entry.vmId) ?? 0) / capacity));
        return { ...entry, callerShare: shares[index]!.value };
      });
      work.clear();
    }
  }
  const measure = (name: string, capacity: number) => (totals.get(name) ?? 0) / capacity;
  return { small: measure('vm-0', 0.33), large: measure('vm-20', 1), changes };
};

// Answers the load of bursts on VMs of uneven size: equal parts are more than the small ones can do.
test('small VMs keep up in a burst that the zone can bear', () => {
  const demand = 7.5;
  const alike = simulateZone(demand, false);
  const shared = simulateZone(demand);
  expect(alike.small).toBeGreaterThan(1);
  // Above, queues are more than five times as long.
  expect(shared.small).toBeLessThan(0.8);
  expect(shared.large).toBeLessThan(0.8);
});

// Guards against connections that callers close though nobody has too much to do.
test('answers stay the same without load, with load that all bear, and once a burst is over', () => {
  expect(simulateZone(3).changes).toBe(0);
  const share = new CallerShare();
  [0.9, 0.2, 0.9, 0.2].forEach((utilization) => share.update(utilization));
  expect(share.value).toBe(1);
  [0.9, 0.9].forEach((utilization) => share.update(utilization));
  expect(share.value).toBe(0.75);
  [0.5, 0.5, 0.5].forEach((utilization) => share.update(utilization));
  expect(share.value).toBe(0.75);
  [0.1, 0.1, 0.1, 0.1].forEach((utilization) => share.update(utilization));
  expect(share.value).toBe(1);
});

// Guards against a ready VM that gets no new connection for longer than its operators allow.
test('a VM is never out of two answers in a row, at any share', () => {
  [0.5, 0.625, 0.75, 0.875].forEach((callerShare) => {
    const entries = makeZone((isSmall) => (isSmall ? { callerShare } : {}));
    const counts = new Map<string, number>();
    const windows = 800;
    const startMs = 1_796_361_120_340;
    let last = entries.map(({ vmId }) => String(vmId));
    for (let window = 0; window < windows; window += 1) {
      const picked = listPicked(entries, startMs + window * 1_000);
      expect(new Set([...last, ...picked]).size).toBe(VMS);
      picked.forEach((name) => counts.set(name, (counts.get(name) ?? 0) + 1));
      last = [...picked];
    }
    for (let index = 0; index < SMALL_VMS; index += 1)
      expect(counts.get(`vm-${index}`)! / windows).toBeCloseTo(callerShare, 1);
    expect(counts.get('vm-20')).toBe(windows);
  });
});

// Guards against callers who lose connections whenever they ask another VM.
test('all VMs give the same answer, in whatever order they know the others', () => {
  const entries = makeZone((isSmall) => (isSmall ? { callerShare: 0.5 } : {}));
  for (let second = 0; second < 10; second += 1) {
    const answer = [...listPicked(entries, second * 1_000)].sort();
    const other = [...listPicked([...entries].reverse(), second * 1_000 + 999)].sort();
    expect(other).toEqual(answer);
  }
});

test('callers keep enough VMs to bear the loss of some, and all if all are overloaded or alike', () => {
  const few = makeZone((isSmall) => (isSmall ? { callerShare: 0.5 } : {})).slice(0, 8);
  for (let second = 0; second < 10; second += 1)
    expect(listPicked(few, second * 1_000).length).toBeGreaterThanOrEqual(6);
  expect(listPicked(makeZone(() => ({ callerShare: 0.5 })))).toHaveLength(VMS);
  const alike = makeZone((isSmall) => ({ size: 1, callerShare: isSmall ? 0.5 : 1 }));
  expect(listPicked(alike)).toHaveLength(VMS);
});

// Guards against callers who are sent to VMs that know no configuration yet.
test('VMs that can not serve yet are in no answer', () => {
  const entries = makeZone((isSmall) => (isSmall ? { isReady: false } : {}));
  expect(listPicked(entries)).toHaveLength(VMS - SMALL_VMS);
  expect(listPicked(entries.slice(0, SMALL_VMS))).toEqual([]);
});

const toIds = (entries: readonly EntryHeartbeat[]): readonly VmId[] =>
  entries.map(({ vmId }) => vmId);

// Guards against callers who are sent to VMs that ended or started anew while the log is down, whose old heartbeats stand.
test('VMs that fall silent while the log is down are left out until they write again', () => {
  const roster = new EntryRoster();
  const entries = makeZone();
  const lost = entries[3]!;
  const rest = toIds(entries).filter((vmId) => vmId !== lost.vmId);
  const listNow = () =>
    listPicked(roster.listServing(), 0, (vmId: VmId) => roster.isSilent(vmId)).length;
  entries.forEach((entry) => roster.recordHeartbeat(entry));
  roster.recordLogOutage();
  expect(listNow()).toBe(VMS);
  roster.recordHeard(toIds(entries));
  for (let round = 0; round < 10; round += 1) {
    vi.advanceTimersByTime(200);
    roster.recordHeard(rest);
  }
  expect(listNow()).toBe(VMS - 1);
  roster.recordLogRecovery();
  expect(listNow()).toBe(VMS - 1);
  roster.recordHeartbeat({ ...lost, bootId: toId('next boot') });
  expect(listNow()).toBe(VMS);
});

// Guards against answers of a VM that hears nobody because it is cut off itself.
test('silent VMs stay in the answers if few others are heard', () => {
  const roster = new EntryRoster();
  const entries = makeZone();
  entries.forEach((entry) => roster.recordHeartbeat(entry));
  roster.recordLogOutage();
  roster.recordHeard(toIds(entries));
  vi.advanceTimersByTime(2_000);
  roster.recordHeard(toIds(entries).slice(0, 5));
  const picked = listPicked(roster.listServing(), 0, (vmId) => roster.isSilent(vmId));
  expect(picked).toHaveLength(VMS);
});
