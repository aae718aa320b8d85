import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { UpstreamId } from '../../ids.js';
import { EntryRoster, PeerLoads, UpstreamRegistry } from '../index.js';
import { makeHeartbeat, makeUpstream } from './fixtures.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const UPSTREAMS = 20_000;

const register = (registry: UpstreamRegistry, name: string, heartbeat = 1): boolean =>
  registry.apply({ kind: 'present', upstream: makeUpstream(name, { heartbeat }) });

// Guards against a registry that grows with each record until it fills the memory of the VM.
test('a registry takes a bounded number of upstreams and keeps those that it has', () => {
  const registry = new UpstreamRegistry(new PeerLoads(1_000));
  for (let index = 0; index < UPSTREAMS; index += 1) register(registry, `i-${index}`);
  expect(registry.list().length).toBeLessThanOrEqual(6_000);
  expect(registry.takeIgnored()).toBe(UPSTREAMS - registry.list().length);
  expect(registry.takeIgnored()).toBe(0);
  register(registry, 'i-0', 7);
  expect(registry.find(toId<UpstreamId>('i-0'))?.registered.heartbeat).toBe(7);
  registry.apply({ kind: 'absent', upstreamId: toId<UpstreamId>('i-1') });
  expect(register(registry, 'new')).toBe(true);
});

test('a full registry is replaced as a whole', () => {
  const registry = new UpstreamRegistry(new PeerLoads(1_000));
  for (let index = 0; index < UPSTREAMS; index += 1) register(registry, `i-${index}`);
  registry.replaceAll([makeUpstream('new')]);
  expect(registry.list().map(({ upstreamId }) => upstreamId)).toEqual(['new']);
});

const ENTRIES = 6_000;

// Guards against a roster that keeps each VM that ever wrote a heartbeat.
test('a roster takes a bounded number of VMs, and drops those that are gone for new ones', () => {
  const roster = new EntryRoster();
  for (let index = 0; index < ENTRIES; index += 1)
    roster.recordHeartbeat(makeHeartbeat(`vm-${index}`));
  expect(roster.listLive().length).toBeLessThanOrEqual(4_000);
  expect(roster.takeIgnored()).toBe(ENTRIES - roster.listLive().length);
  vi.advanceTimersByTime(16_000);
  roster.recordHeartbeat(makeHeartbeat('new'));
  expect(roster.listLive().map(({ vmId }) => vmId)).toEqual(['new']);
  expect(roster.findMeshKey(makeHeartbeat('vm-0').vmId)).toBeUndefined();
});

test('a snapshot of very many heartbeats leaves a roster bounded', () => {
  const roster = new EntryRoster();
  roster.recordSnapshot(
    Array.from({ length: ENTRIES }, (_value, index) => makeHeartbeat(`vm-${index}`)),
  );
  expect(roster.listLive().length).toBeLessThanOrEqual(4_000);
});
