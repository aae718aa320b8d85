import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { makeTracked } from '../../fleet/__tests__/fixtures.js';
import type { TrackedUpstream } from '../../fleet/index.js';
import { toId } from '../../ids.js';
import type { AvailabilityZoneId, ModelId } from '../../ids.js';
import { createRandomGenerator } from '../../random.js';
import { PromptLanes, pickLane } from '../index.js';
import type { PromptLane } from '../index.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const makeEngines = (zones: readonly string[], perZone: number): TrackedUpstream[] =>
  zones.flatMap((zone) =>
    Array.from({ length: perZone }, (_value, index) =>
      makeTracked(`${zone}-${index}`, { availabilityZone: toId<AvailabilityZoneId>(zone) }),
    ),
  );

const listIds = (engines: readonly TrackedUpstream[]) =>
  engines.map(({ upstreamId }) => upstreamId);

test('a prompt that delays the events of other streams is long, though first tokens may take long', () => {
  const makeLanePrompt = (inputTokens: number) => ({
    model: toId<ModelId>('m'),
    inputTokens,
    maxOutputTokens: 1,
    parts: [],
  });
  const prompt = makeLanePrompt(3_000);
  expect(pickLane(prompt, 50, { firstTokenMs: 1_000, gapMs: Infinity })).toBe('short');
  expect(pickLane(prompt, 50, { firstTokenMs: 1_000, gapMs: 600 })).toBe('long');
  expect(pickLane(prompt, 50, { firstTokenMs: 300, gapMs: 1_000 })).toBe('long');
  // What an engine prefills in a moment delays no events for long.
  expect(pickLane(makeLanePrompt(2_000), 50, { firstTokenMs: 1_000, gapMs: 100 })).toBe('short');
});

test('every engine belongs to exactly one lane', () => {
  const lanes = new PromptLanes();
  const engines = makeEngines(['z1', 'z2', 'z3'], 10);
  const [long, short] = [lanes.listEngines('long', engines), lanes.listEngines('short', engines)];
  expect([...listIds(long), ...listIds(short)].sort()).toEqual(listIds(engines).sort());
});

test('each zone with enough engines has both lanes', () => {
  const lanes = new PromptLanes();
  const engines = makeEngines(['z1', 'z2'], 8);
  (['long', 'short'] as const).forEach((lane) => {
    const zones = lanes
      .listEngines(lane, engines)
      .map(({ registered }) => registered.availabilityZone);
    expect(new Set(zones).size).toBe(2);
  });
});

test('a few engines are not separated', () => {
  const engines = makeEngines(['z1'], 3);
  expect(new PromptLanes().listEngines('long', engines)).toEqual(engines);
});

test('the lanes follow the demand', () => {
  const engines = makeEngines(['z1'], 20);
  const countLong = (longTokens: number, shortTokens: number): number => {
    const lanes = new PromptLanes();
    for (let second = 0; second < 60; second += 1) {
      lanes.recordPrompt('long', longTokens);
      lanes.recordPrompt('short', shortTokens);
      vi.advanceTimersByTime(1_000);
    }
    return lanes.listEngines('long', engines).length;
  };
  expect(countLong(100_000, 1_000)).toBe(15);
  expect(countLong(20_000, 10_000)).toBe(13);
  expect(countLong(100, 20_000)).toBe(5);
});

test('VMs with different demand agree on most engines of a lane', () => {
  const engines = makeEngines(['z1'], 20);
  const [few, many] = [new PromptLanes(), new PromptLanes()];
  few.recordPrompt('long', 10_000);
  many.recordPrompt('long', 40_000);
  const fewIds = listIds(few.listEngines('long', engines));
  const manyIds = new Set(listIds(many.listEngines('long', engines)));
  expect(fewIds.every((upstreamId) => manyIds.has(upstreamId))).toBe(true);
});

interface Arrival {
  readonly atMs: number;
  readonly lane: PromptLane;
}

const PREFILL_MS: Readonly<Record<PromptLane, number>> = { long: 150, short: 5 };

/** Poisson arrivals of one second pattern: many short prompts, and long ones that fill a quarter. */
const makeArrivals = (random: () => number, perSecond: Record<PromptLane, number>): Arrival[] => {
  const total = perSecond.long + perSecond.short;
  const arrivals: Arrival[] = [];
  for (let atMs = 0; atMs < 20_000; atMs += (-Math.log(1 - random()) * 1_000) / total) {
    arrivals.push({ atMs, lane: random() < perSecond.long / total ? 'long' : 'short' });
  }
  return arrivals;
};

/**
 * Plays arrivals at VMs that know nothing of each other's prompts: each goes to a random candidate.
 *
 * @returns fraction of short prompts that wait for longer than their objective leaves
 */
const playStaleFigures = (
  listCandidates: (lane: PromptLane) => readonly TrackedUpstream[],
): number => {
  const generator = createRandomGenerator(7);
  const random = (): number => uniformFloat64(generator);
  const idleAtMs = new Map<string, number>();
  const waits: number[] = [];
  makeArrivals(random, { long: 100, short: 450 }).forEach(({ atMs, lane }) => {
    const candidates = listCandidates(lane);
    const { upstreamId } = candidates[Math.floor(random() * candidates.length)]!;
    const startMs = Math.max(atMs, idleAtMs.get(upstreamId) ?? 0);
    idleAtMs.set(upstreamId, startMs + PREFILL_MS[lane]);
    if (lane === 'short') waits.push(startMs - atMs);
  });
  return waits.filter((waitMs) => waitMs > 100).length / waits.length;
};

test('short prompts do not wait behind long ones that other VMs have just sent', () => {
  const engines = makeEngines(['z1', 'z2', 'z3', 'z4', 'z5'], 11);
  const lanes = new PromptLanes();
  expect(playStaleFigures((lane) => lanes.listEngines(lane, engines))).toBeLessThan(0.01);
});

test('without lanes, many short prompts wait behind long ones', () => {
  const engines = makeEngines(['z1', 'z2', 'z3', 'z4', 'z5'], 11);
  expect(playStaleFigures(() => engines)).toBeGreaterThan(0.05);
});
