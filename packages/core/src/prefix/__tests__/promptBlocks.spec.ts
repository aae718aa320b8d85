import fc from 'fast-check';
import { expect, test } from 'vitest';
import { toId } from '../../ids.js';
import type { ClientAccountId, ModelId, WeightVersion } from '../../ids.js';
import { createAccountSecret, createPromptBlocks, parseBlockKey } from '../promptBlocks.js';
import { BLOCK_BYTES } from '../constants.js';

const base = {
  accountSecret: createAccountSecret('fleet', toId<ClientAccountId>('yard')),
  model: toId<ModelId>('m'),
  weightVersion: toId<WeightVersion>('v1'),
};
const prompt = 'a'.repeat(BLOCK_BYTES) + 'b'.repeat(BLOCK_BYTES) + 'c'.repeat(100);
const getKeys = (input: Partial<Parameters<typeof createPromptBlocks>[0]>): string[] =>
  createPromptBlocks({ ...base, prompt, ...input }).map((block) => block.key);

test('partial blocks have no key', () => {
  expect(getKeys({})).toHaveLength(2);
  expect(getKeys({ prompt: 'a'.repeat(BLOCK_BYTES - 1) })).toHaveLength(0);
});

test.each([
  ['account', { accountSecret: createAccountSecret('fleet', toId<ClientAccountId>('other')) }],
  ['fleet secret', { accountSecret: createAccountSecret('x', toId<ClientAccountId>('yard')) }],
  ['model', { model: toId<ModelId>('n') }],
  ['adapter', { adapter: 'boots' }],
  ['weight version', { weightVersion: toId<WeightVersion>('v2') }],
  ['first byte', { prompt: `z${prompt.slice(1)}` }],
])('prompts with another %s share no keys', (_name, change) => {
  const own = new Set(getKeys({}));
  expect(getKeys(change).some((key) => own.has(key))).toBe(false);
});

test('prompts share keys for the common prefix and none after it', () => {
  const property = fc.property(
    fc.integer({ min: 0, max: 20 }),
    fc.integer({ min: 1, max: 5 }),
    (shared, tail) => {
      const head = Array.from({ length: shared }, (_, i) => String(i).padEnd(BLOCK_BYTES)).join('');
      const left = getKeys({ prompt: head + 'x'.repeat(tail * BLOCK_BYTES) });
      const right = getKeys({ prompt: head + 'y'.repeat(tail * BLOCK_BYTES) });
      expect(left.slice(0, shared)).toEqual(right.slice(0, shared));
      expect(left.slice(shared).some((key) => right.includes(key))).toBe(false);
      expect(new Set(left).size).toBe(left.length);
    },
  );
  fc.assert(property, { seed: 1, numRuns: 20 });
});

test('only block keys are parsed', () => {
  expect(parseBlockKey(getKeys({})[0]!)).toBeDefined();
  expect(parseBlockKey('short')).toBeUndefined();
});
