import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import {
  AnnouncedRates,
  CrashQuarantine,
  PeerLoads,
  SentParts,
  UpstreamRegistry,
  toId,
} from '@goldcrestscale/core';
import type { AvailabilityZoneId, ServiceName, UpstreamId, VmId } from '@goldcrestscale/core';
import { createLogger } from '@goldcrestscale/runtime';
import { ReportBuilder } from '../mesh/reportBuilder.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const upstreamId = toId<UpstreamId>('engine');

/** Builds the report of a VM with an open stream whose upstream has been silent for 3 s. */
const reportSilence = (
  readingForMs: number,
  reach = { isCutOff: false, hasContactSince: () => true },
) => {
  const registry = new UpstreamRegistry(new PeerLoads(1_500));
  registry.apply({
    kind: 'present',
    upstream: {
      upstreamId,
      service: toId<ServiceName>('service'),
      address: '127.0.0.1:1',
      availabilityZone: toId<AvailabilityZoneId>('z1'),
      slots: 8,
      draining: false,
      coldRemainingMs: 0,
      weights: [],
      heartbeat: 1,
      startedAtMs: 1,
    },
  });
  const upstream = registry.find(upstreamId)!;
  upstream.recordDispatch(0);
  upstream.recordStreamStart();
  vi.advanceTimersByTime(3_000);
  const { down } = new ReportBuilder({
    self: toId<VmId>('vm-1'),
    registry,
    sentParts: new SentParts(),
    quarantine: new CrashQuarantine(),
    announcedRates: new AnnouncedRates(),
    places: { listWaiting: () => [] },
    listLoading: () => [],
    hasReadFor: (durationMs) => readingForMs >= durationMs,
    reach,
    logger: createLogger({ part: 'test', level: 'error', format: 'json' }),
  }).build();
  return { down, isDown: upstream.isDown };
};

test('a silent upstream is reported', () => {
  expect(reportSilence(3_000)).toEqual({ down: [upstreamId], isDown: true });
});

// Guards against a VM that takes its own pause for the silence of its upstreams, and tells all others.
test('an upstream is not reported after a pause of the VM itself', () => {
  expect(reportSilence(0)).toEqual({ down: [], isDown: false });
  expect(reportSilence(1_000)).toEqual({ down: [], isDown: false });
});

// Guards against a VM that has lost its own links and tells all others that each upstream is down.
test('a VM that gets no byte of any upstream reports none', () => {
  const reach = { isCutOff: false, hasContactSince: () => false };
  expect(reportSilence(3_000, reach)).toEqual({ down: [], isDown: true });
  expect(reportSilence(3_000, { ...reach, isCutOff: true })).toEqual({ down: [], isDown: false });
});
