import { createHash } from 'node:crypto';
import { PrefixIndex, createPromptBlocks, toId } from '@goldcrestscale/core';
import type { BlockKey, UpstreamId } from '@goldcrestscale/core';
import { measureProcessorMs } from './slope.js';
import type { Slope } from './slope.js';

const ENTRIES = 1_000_000;
const BATCH = 1_000;
const HOLDERS = 100;
const MICROSECONDS_PER_MS = 1_000;
const KEY_SAMPLE = createPromptBlocks({
  accountSecret: Buffer.alloc(32, 1),
  model: toId('model'),
  weightVersion: toId('v1'),
  prompt: 'x'.repeat(4_096),
})[0]?.key;

const buildKey = (number: number): BlockKey => {
  const digest = createHash('sha256').update(String(number)).digest();
  const encoding = /^[0-9a-f]+$/.test(KEY_SAMPLE ?? '') ? 'hex' : 'base64url';
  return digest.toString(encoding).slice(0, KEY_SAMPLE?.length) as BlockKey;
};

/** Measures what an entry of the prefix index costs. */
export const measureIndex = async (): Promise<readonly Slope[]> => {
  const index = new PrefixIndex({ maxLocations: ENTRIES });
  const batches: BlockKey[][] = [];
  for (let first = 0; first < ENTRIES; first += BATCH) {
    batches.push(Array.from({ length: BATCH }, (_, offset) => buildKey(first + offset)));
  }
  const addMs = await measureProcessorMs(() => {
    batches.forEach((keys, number) =>
      index.addBlocks(toId<UpstreamId>(`upstream-${number % HOLDERS}`), keys),
    );
  });
  return [
    { name: 'index: memory of one location', value: index.bytes / index.size, unit: 'bytes' },
    {
      name: 'index: one cache event of one block',
      value: (addMs / ENTRIES) * MICROSECONDS_PER_MS,
      unit: 'us',
    },
  ];
};
