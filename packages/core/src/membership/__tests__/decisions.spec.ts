import fc from 'fast-check';
import { expect, test } from 'vitest';
import { toId, toLogOffset } from '../../ids.js';
import type { AvailabilityZoneId, VmId } from '../../ids.js';
import { decideFreshness, pickByRendezvous, rankEntries, selectGridNeighbours } from '../index.js';
import type { FreshnessInput, LogReport, VmRecord } from '../index.js';

const makeVms = (count: number): VmId[] =>
  Array.from({ length: count }, (_, index) => toId<VmId>(`entry-${index}`));

const at = (headOffset: number, ageMs: number) => ({ headOffset: toLogOffset(headOffset), ageMs });
const down: LogReport = { canReadLog: false, ageMs: 0 };
const cut = { foldedOffset: toLogOffset(10), own: down, peers: [], knownVms: 9, heardVms: 9 };
const repeat = (report: LogReport, count: number): LogReport[] =>
  Array.from({ length: count }, () => report);

const freshnessCases: [string, Partial<FreshnessInput>, string][] = [
  ['own read', { own: { canReadLog: true, ageMs: 0, stamp: at(10, 100) } }, 'fresh'],
  ['own read, not folded', { own: { canReadLog: true, ageMs: 0, stamp: at(11, 100) } }, 'stale'],
  [
    'cut from the log',
    { peers: [{ canReadLog: true, ageMs: 500, stamp: at(10, 2_000) }] },
    'fresh',
  ],
  ['ages add up', { peers: [{ canReadLog: true, ageMs: 1_500, stamp: at(10, 2_000) }] }, 'stale'],
  ['peer is ahead', { peers: [{ canReadLog: false, ageMs: 500, stamp: at(11, 9_000) }] }, 'stale'],
  ['cut from all', { heardVms: 1 }, 'alone'],
  ['minority', { heardVms: 4, peers: repeat(down, 3) }, 'alone'],
  ['majority, log down', { heardVms: 5, peers: repeat(down, 4) }, 'log_down_for_majority'],
  ['one sees the log', { peers: [...repeat(down, 7), { canReadLog: true, ageMs: 9 }] }, 'stale'],
  ['old reports', { peers: repeat({ ...down, ageMs: 60_000 }, 8) }, 'alone'],
  ['half', { knownVms: 2, heardVms: 1 }, 'alone'],
  ['only VM', { knownVms: 1, heardVms: 1 }, 'log_down_for_majority'],
];

test.each(freshnessCases)('freshness: %s', (_name, change, reason) => {
  const accept = reason === 'fresh' || reason === 'log_down_for_majority';
  expect(decideFreshness({ ...cut, ...change })).toEqual({ accept, reason });
});

test('grid is a full mesh at 9 VMs and sub-linear at 860', () => {
  const few = makeVms(9);
  few.forEach((vmId) => expect(selectGridNeighbours(vmId, few)).toHaveLength(8));
  const many = makeVms(860);
  const neighbours = new Map(many.map((vmId) => [vmId, new Set(selectGridNeighbours(vmId, many))]));
  const sizes = [...neighbours.values()].map((set) => set.size);
  expect(sizes.reduce((sum, size) => sum + size, 0) / many.length).toBeLessThan(120);
  const oneSided = [...neighbours].flatMap(([vmId, set]) =>
    [...set].filter((other) => !neighbours.get(other)?.has(vmId)),
  );
  expect(oneSided).toEqual([]);
});

test('rendezvous moves only the keys of a VM that left', () => {
  fc.assert(
    fc.property(fc.string(), fc.integer({ min: 0, max: 29 }), (key, gone) => {
      const vms = makeVms(30);
      const before = pickByRendezvous(key, vms);
      const after = pickByRendezvous(
        key,
        vms.filter((_, index) => index !== gone),
      );
      return before === vms[gone] || before === after;
    }),
    { seed: 1, numRuns: 500 },
  );
});

test('rendezvous spreads keys', () => {
  const vms = makeVms(10);
  const counts = new Map<VmId, number>();
  for (let key = 0; key < 10_000; key += 1) {
    const vmId = pickByRendezvous(`key-${key}`, vms) as VmId;
    counts.set(vmId, (counts.get(vmId) ?? 0) + 1);
  }
  expect(Math.max(...counts.values())).toBeLessThan(1_150);
  expect(Math.min(...counts.values())).toBeGreaterThan(850);
});

const makeRecord = (vmId: VmId, index: number): VmRecord => ({
  vmId,
  role: 'entry',
  address: `127.0.0.1:${8_000 + index}`,
  availabilityZone: toId<AvailabilityZoneId>(`zone-${index % 3}`),
  state: 'live',
});

test('entries: different zones, no dead, leaving or zone out', () => {
  const vms = makeVms(9).map(makeRecord);
  const input = { vms, getState: () => 'live' as const, zonesOut: new Set<never>(), key: 'prompt' };
  const chosen = rankEntries(input);
  expect(new Set(chosen.map((vm) => vm.availabilityZone)).size).toBe(3);
  expect(rankEntries(input)).toEqual(chosen);
  const [first, second, third] = chosen as [VmRecord, VmRecord, VmRecord];
  const changed = rankEntries({
    ...input,
    vms: vms.map((vm) => (vm === second ? { ...vm, state: 'leaving' } : vm)),
    getState: (vmId) => (vmId === first.vmId ? 'dead' : 'live'),
    zonesOut: new Set([third.availabilityZone]),
    limit: 9,
  });
  expect(changed).toHaveLength(4);
  [first, second, third].forEach((vm) =>
    expect(changed.map((one) => one.vmId)).not.toContain(vm.vmId),
  );
});
