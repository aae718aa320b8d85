import fc from 'fast-check';
import { expect, test } from 'vitest';
import { toId, toLogOffset } from '../../ids.js';
import type { AvailabilityZoneId, VmId } from '../../ids.js';
import {
  computeRendezvousRank,
  decideFreshness,
  pickByRendezvous,
  rankEntryVms,
  selectGridNeighbours,
} from '../index.js';
import type { FreshnessInput, LogReport, VmRecord } from '../index.js';

const makeVms = (count: number): VmId[] =>
  Array.from({ length: count }, (_, index) => toId<VmId>(`entry-${index}`));

const createLogHead = (headOffset: number, ageMs: number) => ({
  headOffset: toLogOffset(headOffset),
  ageMs,
});
const logUnreachable: LogReport = { isLogReachable: false, ageMs: 0 };
const isolatedInput = {
  appliedOffset: toLogOffset(10),
  own: logUnreachable,
  peers: [],
  knownVmCount: 9,
  reachableVmCount: 9,
};
const repeat = (report: LogReport, count: number): LogReport[] =>
  Array.from({ length: count }, () => report);

test('each member has a rank of its own for a key, the picked one the first', () => {
  const vms = makeVms(9);
  const ranks = vms.map((vm) => computeRendezvousRank('key', vms, vm));
  expect([...ranks].sort()).toEqual([...vms.keys()]);
  expect(ranks.indexOf(0)).toBe(vms.indexOf(pickByRendezvous('key', vms)!));
  expect(computeRendezvousRank('key', vms, toId<VmId>('stranger'))).toBe(vms.length);
});

const freshnessCases: [string, Partial<FreshnessInput>, string][] = [
  ['own read', { own: { isLogReachable: true, ageMs: 0, head: createLogHead(10, 100) } }, 'fresh'],
  [
    'own read, not applied',
    { own: { isLogReachable: true, ageMs: 0, head: createLogHead(11, 100) } },
    'stale',
  ],
  [
    'log unreachable, peer report is fresh',
    { peers: [{ isLogReachable: true, ageMs: 500, head: createLogHead(10, 2_000) }] },
    'fresh',
  ],
  [
    'ages add up',
    { peers: [{ isLogReachable: true, ageMs: 1_500, head: createLogHead(10, 2_000) }] },
    'stale',
  ],
  [
    'peer is ahead',
    { peers: [{ isLogReachable: false, ageMs: 500, head: createLogHead(11, 9_000) }] },
    'stale',
  ],
  ['isolated', { reachableVmCount: 1 }, 'alone'],
  ['minority is reachable', { reachableVmCount: 4, peers: repeat(logUnreachable, 3) }, 'alone'],
  [
    'majority is reachable, log unreachable',
    { reachableVmCount: 5, peers: repeat(logUnreachable, 4) },
    'log_down_for_majority',
  ],
  [
    'one peer reaches the log',
    { peers: [...repeat(logUnreachable, 7), { isLogReachable: true, ageMs: 9 }] },
    'stale',
  ],
  ['peer reports are too old', { peers: repeat({ ...logUnreachable, ageMs: 60_000 }, 8) }, 'alone'],
  ['exactly half is reachable', { knownVmCount: 2, reachableVmCount: 1 }, 'alone'],
  ['only VM', { knownVmCount: 1, reachableVmCount: 1 }, 'log_down_for_majority'],
];

test.each(freshnessCases)('freshness: %s', (_name, change, reason) => {
  const accept = reason === 'fresh' || reason === 'log_down_for_majority';
  expect(decideFreshness({ ...isolatedInput, ...change })).toEqual({ accept, reason });
});

test('the grid is a full mesh at 9 VMs and sublinear at 860', () => {
  const smallFleet = makeVms(9);
  smallFleet.forEach((vmId) => expect(selectGridNeighbours(vmId, smallFleet)).toHaveLength(8));
  const largeFleet = makeVms(860);
  const neighbours = new Map(
    largeFleet.map((vmId) => [vmId, new Set(selectGridNeighbours(vmId, largeFleet))]),
  );
  const sizes = [...neighbours.values()].map((set) => set.size);
  expect(sizes.reduce((sum, size) => sum + size, 0) / largeFleet.length).toBeLessThan(120);
  const asymmetric = [...neighbours].flatMap(([vmId, set]) =>
    [...set].filter((other) => !neighbours.get(other)?.has(vmId)),
  );
  expect(asymmetric).toEqual([]);
});

test('rendezvous hashing moves only the keys of a VM that has left', () => {
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

test('rendezvous hashing distributes keys evenly', () => {
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

test('ranked entry VMs cover different zones and exclude dead, leaving and drained ones', () => {
  const vms = makeVms(9).map(makeRecord);
  const input = { vms, getState: () => 'live' as const, zonesOut: new Set<never>(), key: 'prompt' };
  const chosen = rankEntryVms(input);
  expect(new Set(chosen.map((vm) => vm.availabilityZone)).size).toBe(3);
  expect(rankEntryVms(input)).toEqual(chosen);
  const [first, second, third] = chosen as [VmRecord, VmRecord, VmRecord];
  const changed = rankEntryVms({
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
