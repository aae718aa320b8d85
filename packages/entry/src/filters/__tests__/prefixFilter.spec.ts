import { BLOCK_BYTES } from '@goldcrestscale/core';
import { expect, test } from 'vitest';
import type { Exchange } from '../exchange.js';
import { PrefixFilter } from '../prefixFilter.js';

const listBlockKeys = async (account: string, version: string | undefined, kind = 'completion') => {
  const exchange = {
    target: { kind, model: 'm', prompt: 'x'.repeat(2 * BLOCK_BYTES + 5) },
    account: { id: account },
    workload: { id: 'w' },
    weightVersion: version,
  } as unknown as Exchange;
  const visits: number[] = [];
  const filter = new PrefixFilter({
    fleetSecret: 'fleet',
    recordPrompt: (_workloadId, blocks) => visits.push(blocks.length),
  });
  await filter.handle(exchange, () => Promise.resolve());
  return { keys: exchange.blocks?.map(({ key }) => key), visits };
};

test('derives block keys from the account and the weight version', async () => {
  const { keys, visits: recordedBlockCounts } = await listBlockKeys('a', 'v1');
  expect([keys?.length, recordedBlockCounts]).toEqual([2, [2]]);
  const others = [await listBlockKeys('b', 'v1'), await listBlockKeys('a', 'v2')];
  expect(others.flatMap((other) => other.keys ?? []).some((key) => keys?.includes(key))).toBe(
    false,
  );
  expect((await listBlockKeys('a', 'v1')).keys).toEqual(keys);
});

test.each([
  ['plain service', 'service', 'v1'],
  ['no pinned version', 'completion', undefined],
])('creates no blocks: %s', async (_name, kind, version) => {
  expect((await listBlockKeys('a', version, kind)).keys).toBeUndefined();
});
