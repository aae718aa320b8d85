import { afterEach, beforeEach, expect, onTestFinished, test, vi } from 'vitest';
import { STREAM_LIFE_MS, readClocks } from '@goldcrestscale/core';
import { startStreamFleet } from './streamFleet.js';
import type { StreamVm } from './streamFleet.js';

const STREAMS = 40;

/** Time until a VM has read the registry and the heartbeats. */
const SETTLE_MS = 6_000;

/** Time in which a VM that the log answers reads of a change, and writes the streams that it began. */
const READ_MS = 1_500;

/** Records of the registry once a second upstream has come and gone. */
const REGISTRY_RECORDS = 3;

const IDS = Array.from({ length: STREAMS }, (_, index) => `stream-${index}`);

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

/** Starts two VMs, for which upstreams of one version serve. */
const startFleet = async () => {
  const controller = new AbortController();
  onTestFinished(() => controller.abort());
  const fleet = startStreamFleet(controller.signal);
  fleet.register('old', 'v1');
  const [beginning, taking] = ['beginning', 'taking'].map((name) => fleet.startVm(name)) as [
    StreamVm,
    StreamVm,
  ];
  await vi.advanceTimersByTimeAsync(SETTLE_MS);
  const beginStreams = async (upstreamId: string, durationMs = READ_MS): Promise<void> => {
    IDS.forEach((id) => beginning.begin(id, upstreamId));
    await vi.advanceTimersByTimeAsync(durationMs);
  };
  return { ...fleet, beginning, taking, beginStreams };
};

/** Takes streams up at once. @returns the outcomes, and the time until the last one */
const takeUpAll = async (vm: StreamVm, ids: readonly (string | undefined)[] = IDS) => {
  const startedAtMs = performance.now();
  let endedAtMs = startedAtMs;
  const outcomes = ids.map(async (id) => {
    const outcome = await vm.takeUp(id);
    endedAtMs = performance.now();
    return outcome;
  });
  await vi.advanceTimersByTimeAsync(3_000);
  return { outcomes: new Set(await Promise.all(outcomes)), durationMs: endedAtMs - startedAtMs };
};

// Guards against a VM that takes what it has not read for what there is not.
test.each([
  ['does not answer', false],
  ['resets connections', true],
])('a VM for which the log %s guesses no version', async (_, isResetting) => {
  const { beginning, taking, beginStreams, register } = await startFleet();
  Object.assign(taking.log, { isCut: true, isResetting });
  register('new', 'v2');
  await vi.advanceTimersByTimeAsync(READ_MS);
  await beginStreams('new');
  const { outcomes, durationMs } = await takeUpAll(taking);
  expect(outcomes).toEqual(new Set([503]));
  expect(durationMs).toBeLessThan(1_000);
  expect(await beginning.takeUp(IDS[0])).toBe('v2');
});

// Guards against joined versions at a VM that stood still, and serves again before it has read.
test('a VM that has not read of a version yet asks the log', async () => {
  const { taking, beginStreams, register } = await startFleet();
  taking.log.isCut = true;
  register('new', 'v2');
  await vi.advanceTimersByTimeAsync(READ_MS);
  await beginStreams('new');
  taking.log.isCut = false;
  expect((await takeUpAll(taking)).outcomes).toEqual(new Set(['v2']));
});

// Guards against the view of a relay, which may be older than a stream.
test('a VM does not take the word of its relay', async () => {
  const { beginning, taking, beginStreams, register } = await startFleet();
  for (const topic of ['entries', 'registry'] as const) {
    const [relay, follower] = [beginning, taking].map(({ readers }) => readers[topic]);
    const isFresh = (): boolean => (relay?.getOwnPosition()?.provedAgeMs ?? Infinity) < 20;
    while (!isFresh()) await vi.advanceTimersByTimeAsync(5);
    follower?.recordRelayPosition(relay!.getOwnPosition()!, readClocks());
  }
  register('new', 'v2');
  await vi.advanceTimersByTimeAsync(850);
  await beginStreams('new', 250);
  expect((await takeUpAll(taking)).outcomes).toEqual(new Set(['v2']));
});

// Guards against upstreams that register, begin streams and are gone within one gap of a VM.
test('a version that came and went while a VM was out of step counts', async () => {
  const { taking, beginStreams, register, remove } = await startFleet();
  taking.log.isCut = true;
  register('new', 'v2');
  await vi.advanceTimersByTimeAsync(READ_MS);
  await beginStreams('new');
  remove('new');
  taking.log.isCut = false;
  expect((await takeUpAll(taking)).outcomes).toEqual(new Set(['v2']));
  expect(await taking.takeUp(undefined)).toBe(503);
});

// Guards against a snapshot, which does not tell what came and went before it.
test('a version counts though the history that told of it was trimmed', async () => {
  const { taking, beginStreams, register, remove } = await startFleet();
  taking.log.isCut = true;
  register('new', 'v2');
  await vi.advanceTimersByTimeAsync(READ_MS);
  await beginStreams('new');
  remove('new');
  taking.log.firstOffsets.set('upstreams', REGISTRY_RECORDS);
  taking.log.isCut = false;
  expect((await takeUpAll(taking, IDS.slice(0, 5))).outcomes).toEqual(new Set([503]));
  expect((await takeUpAll(taking)).outcomes).toEqual(new Set(['v2']));
});

// Guards against take-ups that are refused, or that each read the log, in a fleet with one version.
test('streams that are taken up together share one read while one version serves', async () => {
  const { taking, beginStreams } = await startFleet();
  await beginStreams('old');
  taking.log.readsAtMs.length = 0;
  const startedAtMs = performance.now();
  const { outcomes, durationMs } = await takeUpAll(taking, [...IDS, undefined]);
  expect(outcomes).toEqual(new Set(['v1']));
  expect(durationMs).toBeLessThan(100);
  const reads = taking.log.readsAtMs.filter((readAtMs) => readAtMs - startedAtMs < 100);
  expect(reads.length).toBeLessThanOrEqual(3);
});

// Guards against versions that a VM still uses and forgets in a long outage of the log.
test('a VM for which the log is away for long still knows the version that it uses', async () => {
  const { taking } = await startFleet();
  taking.log.isCut = true;
  await vi.advanceTimersByTimeAsync(2 * STREAM_LIFE_MS);
  expect(taking.versions.listOwn().map(({ version, ageMs }) => [version, ageMs])).toEqual([
    ['v1', 0],
  ]);
});
