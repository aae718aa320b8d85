import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import {
  HEARTBEAT_INTERVAL_MS,
  POSITION_POLL_INTERVAL_MS,
  RELAY_OPERATOR_POLL_MS,
  UPSTREAM_READ_INTERVAL_MS,
} from '../constants.js';
import {
  ENTRY_FACT_TIMING,
  OPERATOR_FACT_TIMING,
  UPSTREAM_FACT_TIMING,
} from '../controllers/factTiming.js';
import type { FactTiming } from '../controllers/factTiming.js';
import { startRelayedFleet } from './relayedFleet.js';
import type { RelayedTopic } from './relayedFleet.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

/** Time until a fleet has begun to follow its relay. */
const SETTLE_MS = 6_000;

/** Bounds of the whole way of a fact, from its acceptance by the log to the last request without it. */
const BOUNDS_MS: Readonly<Record<RelayedTopic, number>> = {
  operators: 2_000,
  upstreams: 2_000,
  // A lost VM is named for 6 s at most, and 3.4 s of them begin with its last heartbeat.
  entries: 2_600,
};

interface TopicTiming {
  readonly timing: FactTiming;
  /** Longest time between two proofs of a relay. */
  readonly relayIntervalMs: number;
}

const TIMINGS: Readonly<Record<RelayedTopic, TopicTiming>> = {
  operators: { timing: OPERATOR_FACT_TIMING, relayIntervalMs: RELAY_OPERATOR_POLL_MS },
  upstreams: { timing: UPSTREAM_FACT_TIMING, relayIntervalMs: UPSTREAM_READ_INTERVAL_MS },
  entries: { timing: ENTRY_FACT_TIMING, relayIntervalMs: HEARTBEAT_INTERVAL_MS },
};

const TOPICS = Object.keys(BOUNDS_MS) as RelayedTopic[];

const STEP_MS = 10;

/** Measures how long the slowest follower takes to know a fact that the log accepts around a cut. */
const measureDelayMs = async (
  topic: RelayedTopic,
  { cutAtMs, factAfterMs, phaseMs }: { cutAtMs: number; factAfterMs: number; phaseMs: number },
): Promise<number> => {
  const controller = new AbortController();
  const { relay, followers, appendFact } = startRelayedFleet(3, phaseMs, controller.signal);
  setTimeout(() => {
    relay.log.isCut = true;
  }, SETTLE_MS + cutAtMs);
  await vi.advanceTimersByTimeAsync(SETTLE_MS + cutAtMs + factAfterMs);
  appendFact(topic);
  let elapsedMs = 0;
  while (!followers.every(({ knows }) => knows[topic]()) && elapsedMs < 10_000) {
    await vi.advanceTimersByTimeAsync(STEP_MS);
    elapsedMs += STEP_MS;
  }
  controller.abort();
  vi.clearAllTimers();
  return elapsedMs;
};

// Guards against a lag that is added without being taken from another one.
test.each(TOPICS)('the lags of a fact of %s add up to no more than its bound', (topic) => {
  const { timing, relayIntervalMs } = TIMINGS[topic];
  const { boundMs, maxProofAgeMs, readSpreadMs, readMs, sendMs } = timing;
  expect(boundMs).toBeLessThanOrEqual(BOUNDS_MS[topic]);
  expect(maxProofAgeMs + readMs + sendMs).toBeLessThanOrEqual(boundMs);
  const usualProofAgeMs = relayIntervalMs + POSITION_POLL_INTERVAL_MS;
  expect(usualProofAgeMs).toBeLessThan(maxProofAgeMs - readSpreadMs);
});

// Guards against lags that add up: a relay's proof was relied on from its arrival, not from its moment.
test.each(TOPICS)(
  'followers know a fact of %s in time when their relay is cut off',
  async (topic) => {
    const scenario = fc.record({
      cutAtMs: fc.integer({ min: 0, max: 1_500 }),
      factAfterMs: fc.integer({ min: -700, max: 1_500 }),
      phaseMs: fc.integer({ min: 0, max: 449 }),
    });
    await fc.assert(
      fc.asyncProperty(scenario, async (options) => {
        const delayMs = await measureDelayMs(topic, options);
        const { sendMs } = TIMINGS[topic].timing;
        expect(delayMs + sendMs).toBeLessThanOrEqual(BOUNDS_MS[topic]);
      }),
      { numRuns: 60, endOnFailure: true },
    );
  },
  60_000,
);

// Guards against reads that a proof would make needless: each one is paid for.
test('followers read nothing themselves while their relay reads the log', async () => {
  const controller = new AbortController();
  const { followers } = startRelayedFleet(8, 0, controller.signal);
  await vi.advanceTimersByTimeAsync(SETTLE_MS);
  const before = followers.map(({ log }) => log.readsAtMs.length);
  await vi.advanceTimersByTimeAsync(20_000);
  controller.abort();
  expect(followers.map(({ log }) => log.readsAtMs.length)).toEqual(before);
}, 30_000);

// Guards against a zone of followers that all begin to read at the same moment.
test('the followers of a relay that is cut off begin to read one after the other', async () => {
  const controller = new AbortController();
  const { relay, followers } = startRelayedFleet(60, 0, controller.signal);
  await vi.advanceTimersByTimeAsync(SETTLE_MS);
  relay.log.isCut = true;
  const cutAtMs = performance.now();
  await vi.advanceTimersByTimeAsync(2_500);
  controller.abort();
  const firstReadsAtMs = followers.map(({ log }) => log.readsAtMs.find((atMs) => atMs > cutAtMs)!);
  const countWithin = (startMs: number, spanMs: number): number =>
    firstReadsAtMs.filter((atMs) => atMs >= startMs && atMs < startMs + spanMs).length;
  const busiest = Math.max(...firstReadsAtMs.map((startMs) => countWithin(startMs, 50)));
  expect(busiest).toBeLessThanOrEqual(followers.length / 2);
}, 60_000);
