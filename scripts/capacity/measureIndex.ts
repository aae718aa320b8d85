import { createHash } from 'node:crypto';
import { PrefixIndex, createPromptBlocks, toId } from '@goldcrestscale/core';
import type { BlockKey, UpstreamId } from '@goldcrestscale/core';
import { measureCpuMs } from './marginalCost.js';
import type { MarginalCost } from './marginalCost.js';

const LOCATION_COUNT = 1_000_000;
const BATCH_SIZE = 1_000;
const UPSTREAM_COUNT = 100;
const MICROSECONDS_PER_MS = 1_000;
const SAMPLE_KEY = createPromptBlocks({
  accountSecret: Buffer.alloc(32, 1),
  model: toId('model'),
  weightVersion: toId('v1'),
  prompt: 'x'.repeat(4_096),
})[0]?.key;

const buildKey = (number: number): BlockKey => {
  const digest = createHash('sha256').update(String(number)).digest();
  const encoding = /^[0-9a-f]+$/.test(SAMPLE_KEY ?? '') ? 'hex' : 'base64url';
  return digest.toString(encoding).slice(0, SAMPLE_KEY?.length) as BlockKey;
};

/** Measures the memory and CPU time that one location in the prefix index costs. */
export const measureIndex = async (): Promise<readonly MarginalCost[]> => {
  const index = new PrefixIndex({ maxLocations: LOCATION_COUNT });
  const batches: BlockKey[][] = [];
  for (let first = 0; first < LOCATION_COUNT; first += BATCH_SIZE) {
    batches.push(Array.from({ length: BATCH_SIZE }, (_, offset) => buildKey(first + offset)));
  }
  const addMs = await measureCpuMs(() => {
    batches.forEach((keys, number) =>
      index.addBlocks(toId<UpstreamId>(`upstream-${number % UPSTREAM_COUNT}`), keys),
    );
  });
  return [
    { name: 'index: memory of one location', value: index.bytes / index.size, unit: 'bytes' },
    {
      name: 'index: one cache event of one block',
      value: (addMs / LOCATION_COUNT) * MICROSECONDS_PER_MS,
      unit: 'us',
    },
  ];
};
