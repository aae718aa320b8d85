import { expect, test } from 'vitest';
import { makeTracked } from '../../fleet/__tests__/fixtures.js';
import type { TrackedUpstream } from '../../fleet/index.js';
import { toId } from '../../ids.js';
import type { AvailabilityZoneId, ModelId, PromptPartId } from '../../ids.js';
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
