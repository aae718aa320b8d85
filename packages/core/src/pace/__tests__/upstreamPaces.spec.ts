import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { makeUpstream } from '../../fleet/__tests__/fixtures.js';
import { PeerLoads, ServiceSpeed, TrackedUpstream } from '../../fleet/index.js';
import { UpstreamPaces } from '../index.js';
import type { PaceSenders } from '../index.js';
import { PacedFleet, createFlood, createPaces } from './pacedFleet.js';
import type { CreateStartRule } from './pacedFleet.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

/** Usual time until an answer begins, which is a round of the pace. */
const ROUND_MS = 400;

const SOLE: PaceSenders = { rank: 0, count: 1 };

const makeService = (count: number, fields: Parameters<typeof makeUpstream>[1] = {}) => {
  const speed = new ServiceSpeed();
  speed.recordReport(1);
  speed.recordHead(ROUND_MS);
  const peerLoads = new PeerLoads(1_000);
  return Array.from(
    { length: count },
    (_, index) =>
      new TrackedUpstream(makeUpstream(`e${index}`, { slots: 32, ...fields }), peerLoads, speed),
  );
};

const carry = (upstreams: readonly TrackedUpstream[], requests: number): void =>
  upstreams.forEach((upstream) => {
    for (let request = 0; request < requests; request += 1) upstream.recordDispatch(0);
  });

/** Starts to observe upstreams that are known, and carry requests each. */
const makePaces = (
  upstreams: readonly TrackedUpstream[],
  senders: PaceSenders = SOLE,
): UpstreamPaces => {
  const paces = new UpstreamPaces({ findSenders: () => senders });
  paces.observe(upstreams, () => false);
  vi.advanceTimersByTime(5_000);
  carry(upstreams.slice(1), 20);
  paces.observe(upstreams, () => false);
  return paces;
};

const restart = (upstream: TrackedUpstream | undefined, startedAtMs: number): void => {
  upstream?.update(makeUpstream(upstream.upstreamId, { slots: 32, startedAtMs }));
};

/** Advances by rounds, looking at the upstreams as choices do. */
const observeFor = (
  paces: UpstreamPaces,
  upstreams: readonly TrackedUpstream[],
  durationMs: number,
  isOut: (upstream: TrackedUpstream) => boolean = () => false,
): void => {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
    vi.advanceTimersByTime(50);
    paces.observe(upstreams, isOut);
  }
};

interface RestartOutcome {
  /** Highest load of a restarted upstream within 400 ms, as a multiple of what others carry then. */
  readonly firstPeak: number;
  /** Requests in flight at the restarted upstreams after 2 s, as a fraction of the others'. */
  readonly finalShare: number;
}

/** A third of 12 upstreams restarts at once, under a load that keeps 10 requests at each. */
const playRestart = (vmCount: number, createRule: CreateStartRule): RestartOutcome => {
  const fleet = new PacedFleet(vmCount, 12, 0.6, createRule);
  fleet.run(4_000, () => undefined);
  fleet.restart(4);
  const countMean = (from: number): number =>
    [0, 1, 2, 3].reduce((sum, index) => sum + fleet.countInFlight(from + index), 0) / 4;
  let firstPeak = 0;
  fleet.run(400, () => {
    const peak = Math.max(...[0, 1, 2, 3].map((index) => fleet.countInFlight(index)));
    firstPeak = Math.max(firstPeak, peak / countMean(4));
  });
  fleet.run(1_600, () => undefined);
  return { firstPeak, finalShare: countMean(0) / countMean(4) };
};

test('a third of the upstreams restarts at once; none is flooded, and none stays idle', () => {
  const paced = playRestart(7, createPaces);
  expect(paced.firstPeak).toBeLessThan(1);
  expect(paced.finalShare).toBeGreaterThan(0.7);
  expect(playRestart(7, createFlood).firstPeak).toBeGreaterThan(1.2);
});

test('30 VMs that each send a little do not flood it together, and do not leave it idle', () => {
  const paced = playRestart(30, createPaces);
  expect(paced.firstPeak).toBeLessThan(1);
  expect(paced.finalShare).toBeGreaterThan(0.7);
  /** Each VM begins with one request, which is slow start for one VM. */
  const createLonePaces: CreateStartRule = () => createPaces(() => SOLE);
  expect(playRestart(30, createLonePaces).firstPeak).toBeGreaterThan(1.2);
  /** Each VM takes its part of the pace, rounded down. */
  const createParts: CreateStartRule = () => {
    const beginnings = new Map<string, number>();
    return {
      observe: () => undefined,
      canTake({ registered: { startedAtMs }, inFlight, upstreamId }) {
        if (startedAtMs === 1_000) return true;
        const beganAtMs = beginnings.get(upstreamId) ?? performance.now();
        beginnings.set(upstreamId, beganAtMs);
        const level = 2 * 2 ** Math.min(3, (performance.now() - beganAtMs) / 400);
        return inFlight < Math.floor(level / 30);
      },
    };
  };
  expect(playRestart(30, createParts).finalShare).toBeLessThan(0.1);
});

test('the pace doubles with usual answers, and ends at what others carry', () => {
  const upstreams = makeService(4);
  const paces = makePaces(upstreams);
  restart(upstreams[0], 2_000);
  paces.observe(upstreams, () => false);
  expect(paces.find(upstreams[0]!)?.requests).toBe(2);
  paces.find(upstreams[0]!)?.recordAnswer();
  observeFor(paces, upstreams, 800);
  expect(paces.find(upstreams[0]!)?.requests).toBe(8);
  observeFor(paces, upstreams, 800);
  expect(paces.find(upstreams[0]!)).toBeUndefined();
});

test('the pace falls back when answers slow down or fail, and grows again', () => {
  const upstreams = makeService(4);
  const paces = makePaces(upstreams);
  restart(upstreams[0], 2_000);
  observeFor(paces, upstreams, 50);
  paces.find(upstreams[0]!)?.recordAnswer();
  observeFor(paces, upstreams, 800);
  paces.find(upstreams[0]!)?.recordFailure();
  expect(paces.find(upstreams[0]!)?.requests).toBe(4);
  const usualAnswer = { reported: 1, kind: 'run', units: 0, elapsedMs: ROUND_MS };
  for (let round = 0; round < 10; round += 1) {
    upstreams.slice(1).forEach(({ speed }) => speed.recordAnswer(usualAnswer));
    upstreams[0]!.speed.recordAnswer({ ...usualAnswer, reported: 4 });
    observeFor(paces, upstreams, 100);
  }
  expect(paces.find(upstreams[0]!)?.requests).toBe(2);
  vi.advanceTimersByTime(2_000);
  paces.find(upstreams[0]!)?.recordAnswer();
  observeFor(paces, upstreams, 800);
  expect(paces.find(upstreams[0]!)?.requests ?? 20).toBeGreaterThan(2);
});

test('an upstream that was out begins anew, and one that was out for a moment does not', () => {
  const upstreams = makeService(4);
  const paces = makePaces(upstreams);
  const isFirst = (upstream: TrackedUpstream): boolean => upstream === upstreams[0];
  observeFor(paces, upstreams, 200, isFirst);
  observeFor(paces, upstreams, 50);
  expect(paces.find(upstreams[0]!)).toBeUndefined();
  observeFor(paces, upstreams, 1_000, isFirst);
  observeFor(paces, upstreams, 50);
  expect(paces.find(upstreams[0]!)?.requests).toBe(2);
});

test('a cold upstream is bounded by the limit for cold ones alone, which is its slow start', () => {
  const upstreams = makeService(4, { coldRemainingMs: 500 });
  const paces = new UpstreamPaces({ findSenders: () => ({ rank: 9, count: 30 }) });
  carry(upstreams.slice(1), 20);
  observeFor(paces, upstreams, 400);
  expect(paces.canTake(upstreams[0]!)).toBe(true);
  observeFor(paces, upstreams, 150);
  expect(paces.canTake(upstreams[0]!)).toBe(false);
  observeFor(paces, upstreams, 2_000);
  expect(paces.canTake(upstreams[0]!)).toBe(true);
});

test('a VM that has just started takes what it finds for known, and later ones for new', () => {
  const upstreams = makeService(4);
  const paces = makePaces(upstreams.slice(0, 3));
  expect(paces.find(upstreams[0]!)).toBeUndefined();
  paces.observe(upstreams, () => false);
  expect(paces.find(upstreams[3]!)?.requests).toBe(2);
});
