import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { CONSECUTIVE_FAILURES_TO_OPEN, OperatorState, toId } from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  RegisteredUpstream,
  ServiceName,
  UpstreamId,
  VmId,
} from '@goldcrestscale/core';
import { createFleetState } from '../compose/createFleetState.js';
import type { FleetState } from '../compose/createFleetState.js';
import { SoundUpstreams } from '../dispatch/soundUpstreams.js';
import { buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

const SERVICE = toId<ServiceName>('service');

const ZONE = toId<AvailabilityZoneId>('z1');

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

const buildEntry = (index: number): RegisteredUpstream => ({
  upstreamId: toId<UpstreamId>(`up-${index}`),
  service: SERVICE,
  address: '127.0.0.1:1',
  availabilityZone: ZONE,
  slots: 8,
  draining: false,
  coldRemainingMs: 0,
  weights: [],
  heartbeat: 1,
  startedAtMs: 1,
  softwareVersion: undefined,
});

const eject = ({ ejection }: FleetState, count: number): void => {
  for (let index = 0; index < count; index += 1) {
    const upstreamId = toId<UpstreamId>(`up-${index}`);
    for (let failures = 0; failures < CONSECUTIVE_FAILURES_TO_OPEN; failures += 1)
      ejection.recordOutcome(upstreamId, 'failure');
    expect(ejection.getState(upstreamId)).toBe('open');
  }
};

/** A service whose first upstreams are ejected. */
const createFleet = (size: number, ejected: number) => {
  const fleetState = createFleetState(toId<VmId>('vm-1'), ZONE);
  const { registry } = fleetState;
  for (let index = 0; index < size; index += 1)
    registry.apply({ kind: 'present', upstream: buildEntry(index) });
  eject(fleetState, ejected);
  const sound = new SoundUpstreams({ ...fleetState, operators: new OperatorState() });
  return { ...fleetState, sound };
};

// Guards against a choice that walks over the service once for each ejected upstream.
test('the walks over a service for a request do not grow with its ejected upstreams', async () => {
  vi.useRealTimers();
  const respond = ({ id, socket }: TestRequest): boolean =>
    socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, 'fine'));
  const { call, fleetState } = await startGateway({
    upstreams: Array.from({ length: 20 }, () => respond),
    deadUpstreams: 20,
  });
  eject(fleetState, 20);
  const listService = vi.spyOn(fleetState.registry, 'listService');
  expect((await call()).status).toBe(200);
  expect(listService.mock.calls.length).toBeLessThan(5);
});

test('an upstream that was found counts only as long as it may serve', () => {
  const { registry, sound } = createFleet(5, 2);
  const [leaving, busy, removed] = [2, 3, 4].map((index) => toId<UpstreamId>(`up-${index}`));
  expect(sound.has(SERVICE)).toBe(true);
  registry.find(leaving!)!.markLeaving();
  expect(sound.has(SERVICE)).toBe(true);
  registry.find(busy!)!.markBusy(1_000);
  expect(sound.has(SERVICE)).toBe(true);
  registry.apply({ kind: 'absent', upstreamId: removed! });
  expect(sound.has(SERVICE)).toBe(false);
  vi.advanceTimersByTime(1_000);
  expect(sound.has(SERVICE)).toBe(true);
});
