import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { ClientAccountId, ModelId, PromptPartId, UpstreamId } from '../../ids.js';
import { CRASH_MEMORY_MS, MIN_PART_CRASHES, REFUSAL_IDLE_MS } from '../constants.js';
import { CrashQuarantine } from '../crashQuarantine.js';
import type { QuarantineChange } from '../crashQuarantine.js';
import type { PromptOfAccount } from '../crashPattern.js';

const SPACING_MS = 500;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const makePrompt = (parts: readonly string[], account = 'account'): PromptOfAccount => ({
  prompt: {
    model: toId<ModelId>('model'),
    inputTokens: 10,
    maxOutputTokens: 10,
    parts: parts.map((id) => ({ id: toId<PromptPartId>(id), tokens: 1 })),
  },
  account: toId<ClientAccountId>(account),
});

const poison = makePrompt(['system', 'poison', 'own']);

const sound = makePrompt(['system', 'session', 'own']);

const makeBoot = (index: number) => ({
  upstreamId: toId<UpstreamId>(`up-${index}`),
  startedAtMs: index,
});

/** Records crashes on a prompt, one after the other. */
const recordCrashes = (quarantine: CrashQuarantine, count: number, prompt = poison): void => {
  for (let index = 0; index < count; index += 1) {
    quarantine.recordCrash(prompt, makeBoot(index));
    vi.advanceTimersByTime(SPACING_MS);
  }
};

test('refuses a part after several crashes, but not the other parts of its prompts', () => {
  const quarantine = new CrashQuarantine();
  recordCrashes(quarantine, MIN_PART_CRASHES - 1);
  expect(quarantine.findRefused(poison)).toBeUndefined();
  quarantine.recordSurvival(sound);
  quarantine.recordCrash(poison, makeBoot(9));
  expect(quarantine.findRefused(poison)?.label).toBe('poison');
  expect(quarantine.findRefused(sound)).toBeUndefined();
});

// Guards against the refusal of sound prompts whose shared part was present at every crash.
test('an answer that went well clears the parts of its prompt', () => {
  const quarantine = new CrashQuarantine();
  recordCrashes(quarantine, MIN_PART_CRASHES);
  expect(quarantine.findRefused(sound)).toBeDefined();
  quarantine.recordSurvival(sound);
  expect(quarantine.findRefused(sound)).toBeUndefined();
  expect(quarantine.findRefused(poison)?.label).toBe('poison');
});

// Guards against blaming prompts for the loss of a rack, a zone or all engines.
test('engines that end at the same moment count as one crash', () => {
  const quarantine = new CrashQuarantine();
  for (let index = 0; index < 40; index += 1) quarantine.recordCrash(poison, makeBoot(index));
  expect(quarantine.findRefused(poison)).toBeUndefined();
});

test('the end of one boot of an engine counts once, whoever reports it', () => {
  const quarantine = new CrashQuarantine();
  for (let count = 0; count < 2 * MIN_PART_CRASHES; count += 1) {
    quarantine.recordCrash(poison, makeBoot(1));
    vi.advanceTimersByTime(SPACING_MS);
  }
  expect(quarantine.findRefused(poison)).toBeUndefined();
});

test('crashes long apart are not connected', () => {
  const quarantine = new CrashQuarantine();
  for (let index = 0; index < 2 * MIN_PART_CRASHES; index += 1) {
    quarantine.recordCrash(poison, makeBoot(index));
    vi.advanceTimersByTime(CRASH_MEMORY_MS / 2);
    quarantine.takeRows();
  }
  expect(quarantine.findRefused(poison)).toBeUndefined();
});

test('never suspects the last part of a prompt', () => {
  const quarantine = new CrashQuarantine();
  recordCrashes(quarantine, 2 * MIN_PART_CRASHES, makePrompt(['only']));
  expect(quarantine.dump()).toEqual([]);
});

// Guards against an account that has the prompts of another account refused.
test('crashes by one account refuse only prompts of that account', () => {
  const quarantine = new CrashQuarantine();
  const attack = makePrompt(['shared', 'poison', 'own'], 'attacker');
  recordCrashes(quarantine, 2 * MIN_PART_CRASHES, attack);
  expect(quarantine.findRefused(attack)).toBeDefined();
  expect(quarantine.findRefused(makePrompt(['shared', 'own'], 'other'))).toBeUndefined();
  quarantine.recordCrash(makePrompt(['poison', 'own'], 'other'), makeBoot(99));
  expect(quarantine.findRefused(makePrompt(['poison', 'own'], 'third'))).toBeDefined();
});

test('a refusal ends when the part was not requested for long, not by trial', () => {
  const changes: string[] = [];
  const quarantine = new CrashQuarantine(({ kind }: QuarantineChange) => changes.push(kind));
  recordCrashes(quarantine, MIN_PART_CRASHES);
  for (let count = 0; count < 3; count += 1) {
    vi.advanceTimersByTime(REFUSAL_IDLE_MS - SPACING_MS);
    quarantine.takeRows();
    expect(quarantine.findRefused(poison)).toBeDefined();
  }
  vi.advanceTimersByTime(REFUSAL_IDLE_MS + SPACING_MS);
  quarantine.takeRows();
  expect(quarantine.findRefused(poison)).toBeUndefined();
  expect(new Set(changes.slice(-2))).toEqual(new Set(['lifted']));
});

test('a refusal that is lifted by hand is lifted at other VMs too', () => {
  const [first, second] = [new CrashQuarantine(), new CrashQuarantine()];
  recordCrashes(first, MIN_PART_CRASHES);
  second.merge(first.takeRows());
  expect(second.findRefused(poison)).toBeDefined();
  second.dump().forEach(({ digest }) => second.lift(digest));
  first.merge(second.takeRows());
  expect(first.findRefused(poison)).toBeUndefined();
});

// Guards against sound prompts that stay refused at some VMs, since messages hold only the most suspected parts.
test('a clearing is sent first, although many parts are more suspected', () => {
  const quarantine = new CrashQuarantine();
  for (let part = 0; part < 100; part += 1) {
    recordCrashes(quarantine, 2, makePrompt([`session-${part}`, 'own']));
  }
  recordCrashes(quarantine, 1, makePrompt(['system', 'own']));
  quarantine.recordSurvival(makePrompt(['system', 'own']));
  expect(quarantine.takeRows()[0]).toMatchObject({ label: 'system', clearings: 1 });
});

test('a VM that starts anew learns of a refusal that is older than the memory of crashes', () => {
  const [first, restarted] = [new CrashQuarantine(), new CrashQuarantine()];
  recordCrashes(first, MIN_PART_CRASHES);
  vi.advanceTimersByTime(2 * CRASH_MEMORY_MS);
  restarted.merge(first.takeRows());
  expect(restarted.findRefused(poison)).toBeDefined();
});

// Guards against a time that grows with each exchange, so that a refusal never ends.
test('two VMs that send each other a refusal do not prolong it', () => {
  const pair = [new CrashQuarantine(), new CrashQuarantine()] as const;
  recordCrashes(pair[0], MIN_PART_CRASHES);
  for (let elapsedMs = 0; elapsedMs < REFUSAL_IDLE_MS + 20_000; elapsedMs += 1_000) {
    const rows = pair[0].takeRows();
    vi.advanceTimersByTime(500);
    pair[1].merge(rows);
    const returned = pair[1].takeRows();
    vi.advanceTimersByTime(500);
    pair[0].merge(returned);
  }
  expect(pair.map((quarantine) => quarantine.findRefused(poison))).toEqual([undefined, undefined]);
});

test('the table is bounded and keeps the parts that are refused', () => {
  const quarantine = new CrashQuarantine();
  recordCrashes(quarantine, MIN_PART_CRASHES);
  for (let index = 0; index < 2_000; index += 1) {
    quarantine.recordCrash(makePrompt([`part-${index}`, 'own']), makeBoot(index));
  }
  expect(quarantine.dump().length).toBeLessThanOrEqual(256);
  expect(quarantine.findRefused(poison)).toBeDefined();
});

test('part names of any length are shortened', () => {
  const quarantine = new CrashQuarantine();
  quarantine.recordCrash(makePrompt(['x'.repeat(10_000), 'own']), makeBoot(1));
  expect(quarantine.dump()[0]!.label.length).toBeLessThanOrEqual(64);
});

// Guards against VMs that disagree because they received the same observations in another order.
test.each([
  { boots: 9, crashWeight: 1, size: undefined, maxLength: 40, numRuns: 1_500, seed: 248521930 },
  { boots: 9, crashWeight: 1, size: undefined, maxLength: 40, numRuns: 100, seed: undefined },
  // More boots than a pattern keeps crashes of.
  { boots: 60, crashWeight: 8, size: 'max', maxLength: 120, numRuns: 100, seed: 1 },
  { boots: 60, crashWeight: 8, size: 'max', maxLength: 120, numRuns: 100, seed: undefined },
] as const)('VMs agree in whatever order they receive reports: %o', (options) => {
  const { boots, crashWeight, size, maxLength, numRuns, seed } = options;
  const kinds = [...Array.from({ length: crashWeight }, () => 'crash'), 'survival', 'report'];
  const step = fc.record({
    vm: fc.nat(2),
    to: fc.nat(2),
    kind: fc.constantFrom(...kinds),
    boot: fc.nat(boots - 1),
    waitMs: fc.nat(400),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength, ...(size && { size }) }), (steps) => {
      const vms = [new CrashQuarantine(), new CrashQuarantine(), new CrashQuarantine()];
      steps.forEach(({ vm, to, kind, boot, waitMs }) => {
        if (kind === 'crash') vms[vm]!.recordCrash(poison, makeBoot(boot));
        else if (kind === 'survival') vms[vm]!.recordSurvival(poison);
        else vms[to]!.merge(vms[vm]!.dump());
        vi.advanceTimersByTime(waitMs);
      });
      for (let round = 0; round < 2; round += 1) {
        vms.forEach((from) => vms.forEach((to) => to.merge(from.dump())));
      }
      const beliefs = vms.map((vm) => vm.findRefused(poison)?.crashes.length);
      expect(new Set(beliefs).size).toBe(1);
      const known = vms.map((vm) =>
        vm
          .dump()
          .map(({ digest, crashes }) => [
            digest,
            crashes.map(({ upstreamId }) => upstreamId).sort(),
          ]),
      );
      expect(known[1]).toEqual(known[0]);
      expect(known[2]).toEqual(known[0]);
    }),
    { numRuns, ...(seed !== undefined && { seed }) },
  );
});

// Guards against a herd that fills the memory of a part, so that later crashes don't count.
test('a part that crashes engines after a herd of crashes is refused', () => {
  const quarantine = new CrashQuarantine();
  for (let index = 0; index < 40; index += 1) quarantine.recordCrash(poison, makeBoot(100 + index));
  vi.advanceTimersByTime(SPACING_MS);
  recordCrashes(quarantine, MIN_PART_CRASHES - 1);
  expect(quarantine.findRefused(poison)?.label).toBe('system');
});

// Guards against VMs that keep other crashes of one pattern, because they received them in another order.
test('which crashes are kept does not depend on their order', () => {
  const [first, second] = [new CrashQuarantine(), new CrashQuarantine()];
  for (let index = 0; index < 15; index += 1) {
    first.recordCrash(poison, makeBoot(index), 0);
    vi.advanceTimersByTime(200);
  }
  for (let index = 14; index >= 0; index -= 1) {
    second.recordCrash(poison, makeBoot(index), (15 - index) * 200);
  }
  const listBoots = (quarantine: CrashQuarantine) =>
    quarantine
      .dump()[0]!
      .crashes.map(({ startedAtMs }) => startedAtMs)
      .sort();
  expect(listBoots(second)).toEqual(listBoots(first));
});
