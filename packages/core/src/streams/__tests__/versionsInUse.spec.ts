import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { RequestId, ServiceName, SoftwareVersion } from '../../ids.js';
import { BegunStreams } from '../begunStreams.js';
import { STREAM_LIFE_MS } from '../constants.js';
import { VersionsInUse } from '../versionsInUse.js';

const service = toId<ServiceName>('service');
const [v1, v2] = ['v1', 'v2'].map((name) => toId<SoftwareVersion>(name)) as [
  SoftwareVersion,
  SoftwareVersion,
];

const createVersions = (): VersionsInUse => {
  const versions = new VersionsInUse();
  versions.recordFirstReports([]);
  return versions;
};

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

test('the only version of a service began all of its streams', () => {
  const versions = createVersions();
  versions.recordRegistered(service, v1);
  expect(versions.findOnly(service)).toBe(v1);
  expect(versions.findOnly(toId<ServiceName>('other'))).toBeUndefined();
  expect(versions.hasSeveral(service)).toBe(false);
});

// Guards against streams of a version whose upstreams have just left.
test('a version counts until its streams can not be taken up any more', () => {
  const versions = createVersions();
  versions.recordRegistered(service, v1);
  vi.advanceTimersByTime(1_000);
  versions.recordRegistered(service, v2);
  expect(versions.findOnly(service)).toBeUndefined();
  expect(versions.hasSeveral(service)).toBe(true);
  vi.advanceTimersByTime(STREAM_LIFE_MS - 500);
  versions.recordRegistered(service, v2);
  expect(versions.findOnly(service)).toBe(v2);
});

// Guards against refusals in a long outage of the log, though a single version serves.
test('a version that the registry lists counts for as long as nothing newer is read', () => {
  const versions = createVersions();
  versions.recordRegistered(service, v1);
  versions.updateListed([{ service, version: v1 }]);
  vi.advanceTimersByTime(5 * STREAM_LIFE_MS);
  expect(versions.findOnly(service)).toBe(v1);
  expect(versions.listOwn()).toEqual([{ service, version: v1, ageMs: 0 }]);
  versions.recordRegistered(service, v2);
  versions.updateListed([{ service, version: v2 }]);
  expect(versions.hasSeveral(service)).toBe(true);
  vi.advanceTimersByTime(STREAM_LIFE_MS);
  expect(versions.findOnly(service)).toBe(v2);
});

// Guards against a VM that has started after the upstreams of another version had left.
test('versions that other VMs have used count', () => {
  const versions = createVersions();
  versions.recordRegistered(service, v2);
  versions.recordReport([{ service, version: v1, ageMs: 0 }]);
  expect(versions.findOnly(service)).toBeUndefined();
  vi.advanceTimersByTime(STREAM_LIFE_MS);
  versions.recordRegistered(service, v2);
  expect(versions.findOnly(service)).toBe(v2);
});

// Guards against reports that all VMs replace when they start again at once.
test('a VM that starts passes on what all VMs reported before', () => {
  const versions = new VersionsInUse();
  versions.recordRegistered(service, v2);
  expect(versions.findOnly(service)).toBeUndefined();
  versions.recordFirstReports([{ service, version: v1, ageMs: 10_000 }]);
  expect(versions.findOnly(service)).toBeUndefined();
  const listReported = () => versions.listOwn().map(({ version, ageMs }) => [version, ageMs]);
  expect(listReported()).toEqual([
    [v2, 0],
    [v1, 10_000],
  ]);
  vi.advanceTimersByTime(6_000);
  expect(listReported()).toContainEqual([v1, 15_000]);
  vi.advanceTimersByTime(4_000);
  expect(listReported()).toEqual([[v2, 10_000]]);
});

// Guards against versions that VMs report for ever because they hear of them from each other.
test('a VM does not pass on what it hears of later', () => {
  const versions = createVersions();
  versions.recordReport([{ service, version: v1, ageMs: 0 }]);
  expect(versions.listOwn()).toEqual([]);
});

test('begun streams are remembered for as long as they can be taken up', () => {
  const streams = new BegunStreams();
  const record = (name: string): void => {
    const requestId = toId<RequestId>(name);
    streams.record({ requestId, service, version: v1, account: undefined });
  };
  const isKnown = (name: string): boolean => streams.find(toId<RequestId>(name)) !== undefined;
  record('first');
  vi.advanceTimersByTime(STREAM_LIFE_MS - 1);
  record('second');
  expect(isKnown('first')).toBe(true);
  vi.advanceTimersByTime(STREAM_LIFE_MS - 1);
  record('third');
  expect(isKnown('second')).toBe(true);
  vi.advanceTimersByTime(STREAM_LIFE_MS);
  record('fourth');
  expect([isKnown('first'), isKnown('second')]).toEqual([false, false]);
});

// Guards against reports that name a new version each time until they fill the memory of the VM.
test('a bounded number of versions is known, and expired ones make room', () => {
  const versions = createVersions();
  const report = (name: string): void =>
    versions.recordFirstReports([
      { service: toId<ServiceName>(name), version: toId<SoftwareVersion>(name), ageMs: 0 },
    ]);
  for (let index = 0; index < 5_000; index += 1) report(`v-${index}`);
  expect(versions.listOwn().length).toBeLessThanOrEqual(1_000);
  vi.advanceTimersByTime(STREAM_LIFE_MS + 1);
  expect(versions.listOwn()).toHaveLength(0);
  report('new');
  expect(versions.listOwn()).toHaveLength(1);
});
