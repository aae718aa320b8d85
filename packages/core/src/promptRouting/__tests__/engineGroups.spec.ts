import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { expect, test } from 'vitest';
import { makeTracked } from '../../fleet/__tests__/fixtures.js';
import type { TrackedUpstream } from '../../fleet/index.js';
import { toId } from '../../ids.js';
import type { AvailabilityZoneId, ModelId, PromptPartId } from '../../ids.js';
import { createRandomGenerator } from '../../random.js';
import { listEngineGroups } from '../index.js';
import type { Prompt } from '../index.js';

const toZone = (name: string) => toId<AvailabilityZoneId>(name);

const makeEngines = (zone: string, count: number): TrackedUpstream[] =>
  Array.from({ length: count }, (_, index) =>
    makeTracked(`${zone}-${index}`, { availabilityZone: toZone(zone) }),
  );

const makePrompt = (session: string): Prompt => ({
  model: toId<ModelId>('model'),
  inputTokens: 9_000,
  maxOutputTokens: 50,
  parts: [
    { id: toId<PromptPartId>(session), tokens: 8_000 },
    { id: toId<PromptPartId>(`${session}-own`), tokens: 1_000 },
  ],
});

const engines = [...makeEngines('z1', 30), ...makeEngines('z2', 30)];

const pickLeastLoaded = (candidates: readonly TrackedUpstream[]): TrackedUpstream =>
  candidates.reduce((left, right) => (right.estimateLoad() < left.estimateLoad() ? right : left));

/**
 * Counts how many of 40 VMs, routing at the same time with the same stale load figures, choose the
 * one engine that looks idle.
 */
const countChoicesOfIdle = (list: (prompt: Prompt) => readonly TrackedUpstream[]): number => {
  const idle = engines[7]!;
  const loaded = engines.filter((engine) => engine !== idle);
  loaded.forEach((engine) => engine.recordDispatch(500));
  const chosen = Array.from({ length: 40 }, (_, index) =>
    pickLeastLoaded(list(makePrompt(`s${index}`))),
  );
  loaded.forEach((engine) => engine.recordCompletion(500));
  return chosen.filter((engine) => engine === idle).length;
};

test('VMs with stale load figures do not all choose the same engine', () => {
  const zone = toZone('z1');
  expect(
    countChoicesOfIdle((prompt) => listEngineGroups(prompt, engines, zone)[0]!.engines),
  ).toBeLessThan(10);
});

test('choosing the least loaded of all engines sends all VMs to the same engine', () => {
  expect(countChoicesOfIdle(() => engines)).toBe(40);
});

test('all VMs of a zone consider the same engines of their zone for a session', () => {
  const prompt = makePrompt('session');
  const [first, second, third] = listEngineGroups(prompt, engines, toZone('z1'));
  const again = listEngineGroups(prompt, [...engines].reverse(), toZone('z1'));
  expect(again[0]!.engines).toEqual(first!.engines);
  expect(first!.engines).toHaveLength(3);
  expect(second!.engines).toHaveLength(30);
  expect(third!.engines).toHaveLength(60);
});

test('engines of all zones are considered if the zone has few', () => {
  const few = [...makeEngines('z1', 3), ...makeEngines('z2', 3), ...makeEngines('z3', 2)];
  const groups = listEngineGroups(makePrompt('session'), few, toZone('z1'));
  expect(groups.map((group) => group.engines.length)).toEqual([3, 8]);
});

/** Sends prompts of much-used sessions to the shortest queue of the first group; returns the longest. */
const computeLongestQueue = (random?: RandomGenerator): number => {
  const idle = makeEngines('z1', 30);
  Array.from({ length: 60 }, (_, index) => makePrompt(`hot-${index % 4}`)).forEach((prompt) => {
    const { engines: candidates } = listEngineGroups(prompt, idle, toZone('z1'), { random })[0]!;
    candidates
      .reduce((left, right) =>
        right.estimatePendingTokens() < left.estimatePendingTokens() ? right : left,
      )
      .recordDispatch(prompt.inputTokens);
  });
  return Math.max(...idle.map((engine) => engine.estimatePendingTokens()));
};

test('engines drawn at random relieve the engines of much-used sessions', () => {
  expect(computeLongestQueue(createRandomGenerator(1))).toBeLessThanOrEqual(3 * 9_000);
});

test('without drawn engines, those of much-used sessions prefill while others idle', () => {
  expect(computeLongestQueue()).toBeGreaterThanOrEqual(5 * 9_000);
});

test('each prompt is compared with other drawn engines', () => {
  const random = createRandomGenerator(2);
  const prompt = makePrompt('session');
  const drawn = new Set(
    Array.from({ length: 20 }, () => listEngineGroups(prompt, engines, toZone('z1'), { random }))
      .flatMap(([first]) => first!.engines)
      .map(({ upstreamId }) => upstreamId),
  );
  expect(drawn.size).toBeGreaterThan(15);
});
