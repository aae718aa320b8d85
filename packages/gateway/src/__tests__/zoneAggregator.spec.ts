import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '@goldcrestscale/core';
import type { AvailabilityZoneId, ServiceName, UpstreamId, VmId } from '@goldcrestscale/core';
import type { GossipMessage } from '../mesh/gossipMessage.js';
import { encodeGossip } from '../mesh/gossipMessage.js';
import { RemoteAggregates } from '../mesh/remoteAggregates.js';
import { ZoneAggregator, mergeAggregates, subtractLoads } from '../mesh/zoneAggregator.js';

const toUpstream = (name: string) => toId<UpstreamId>(name);

const makeReport = (name: string, loads: Readonly<Record<string, number>>): GossipMessage => ({
  vmId: toId<VmId>(name),
  sequence: 7,
  loads: Object.entries(loads).map(([upstream, inFlight]) => ({
    upstreamId: toUpstream(upstream),
    inFlight,
    pendingTokens: 100 * inFlight,
    inFlightTokens: 200 * inFlight,
  })),
  loading: [],
  weights: [],
  down: [],
  leaving: [],
  quarantine: [],
  rates: [],
  sentParts: [{ hash: 1, upstreamId: toUpstream('a') }],
});

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

test('sums what waits in the VMs of a zone, and in other zones', () => {
  const service = toId<ServiceName>('service');
  const makeWaiting = (name: string, places: number): GossipMessage => ({
    ...makeReport(name, {}),
    waiting: [{ service, priority: 1, places }],
  });
  const aggregator = new ZoneAggregator(1_500);
  aggregator.add(makeWaiting('vm-1', 3));
  aggregator.add(makeReport('old-vm', {}));
  const aggregate = aggregator.build(makeWaiting('relay', 2), 9);
  expect(aggregate.waiting).toEqual([{ service, priority: 1, places: 5 }]);
  const merged = mergeAggregates(aggregate, [makeWaiting('other-relay', 4)], 10);
  expect(merged.waiting).toEqual([{ service, priority: 1, places: 9 }]);
});

test('sums the loads of a zone with many VMs and lists the included reports', () => {
  const aggregator = new ZoneAggregator(1_500);
  for (let index = 0; index < 50; index += 1) aggregator.add(makeReport(`vm-${index}`, { a: 2 }));
  const message = aggregator.build(makeReport('relay', { b: 1 }), 9);
  expect(message.loads.map(({ upstreamId, inFlight }) => [upstreamId, inFlight])).toEqual([
    ['b', 1],
    ['a', 100],
  ]);
  expect(message.members).toHaveLength(51);
  expect(message.sentParts).toHaveLength(51);
  expect(aggregator.build(makeReport('relay', {}), 10).sentParts).toHaveLength(1);
});

test('subtracts the loads of a VM from the sums', () => {
  const own = makeReport('vm-1', { a: 2, b: 1 });
  const aggregator = new ZoneAggregator(1_500);
  aggregator.add(own);
  aggregator.add(makeReport('vm-2', { a: 3 }));
  const { loads } = aggregator.build(makeReport('relay', {}), 9);
  expect(subtractLoads(loads, own.loads)).toEqual([
    { upstreamId: 'a', inFlight: 3, pendingTokens: 300, inFlightTokens: 600 },
  ]);
});

test('removes an expired report from the sums', () => {
  const aggregator = new ZoneAggregator(1_500);
  aggregator.add(makeReport('vm-1', { a: 2 }));
  expect(aggregator.hasReportFrom(toId<VmId>('vm-1'), 500)).toBe(true);
  vi.advanceTimersByTime(1_600);
  expect(aggregator.hasReportFrom(toId<VmId>('vm-1'), 500)).toBe(false);
  expect(aggregator.build(makeReport('relay', {}), 9).loads).toEqual([]);
});

test('discards the sent parts at a relay that is not active', () => {
  const aggregator = new ZoneAggregator(1_500);
  for (let index = 0; index < 50; index += 1) aggregator.add(makeReport('vm-1', { a: 2 }));
  aggregator.discardSent();
  expect(aggregator.build(makeReport('relay', {}), 9).sentParts).toHaveLength(1);
});

const MAX_DATAGRAM_BYTES = 65_507;

const makeBusyReport = (name: string): GossipMessage => ({
  ...makeReport(name, { a: 2 }),
  sentParts: Array.from({ length: 60 }, (_value, index) => ({
    hash: 4_000_000_000 + index,
    upstreamId: toUpstream(`upstream-${name}-${index % 8}`),
  })),
});

// Guards against aggregates that no datagram carries, so that a busy zone reports no loads at all.
test('an aggregate of many busy VMs fits into a datagram', () => {
  const aggregator = new ZoneAggregator(1_500);
  for (let index = 0; index < 86; index += 1) aggregator.add(makeBusyReport(`vm-${index}`));
  const message = aggregator.build(makeBusyReport('relay'), 9);
  expect(encodeGossip(message, 'key').length).toBeLessThan(MAX_DATAGRAM_BYTES);
  const merged = mergeAggregates(message, [message, message], 10);
  expect(encodeGossip(merged, 'key').length).toBeLessThan(MAX_DATAGRAM_BYTES);
  expect(message.loads[0]).toMatchObject({ inFlight: 174 });
});

// Guards against memory for the parts of a zone whose aggregates are not forwarded any more.
test('the parts of a zone that wait to be forwarded are bounded', () => {
  const aggregates = new RemoteAggregates(1_500);
  for (let index = 0; index < 100; index += 1)
    aggregates.add(toId<AvailabilityZoneId>('z'), makeBusyReport('relay'));
  expect(aggregates.takeAll()[0]!.sentParts).toHaveLength(1_000);
});
