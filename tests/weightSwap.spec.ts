import { afterAll, beforeAll, expect, test } from 'vitest';
import { rowSchema } from '@goldcrestscale/core';
import { TestSite, waitUntil } from './harness/index.js';

const ENGINES = ['engine-1', 'engine-2', 'engine-3'] as const;
const MAX_CONCURRENT_LOADS = 2;

const testSite = new TestSite();
const { site } = testSite;

beforeAll(() => site.start());
afterAll(() => site.stop());

test('a new weight version reaches every engine, with at most two loading at once', async () => {
  await site.table.putRow(rowSchema.parse({ kind: 'model', id: 'house', version: 'v2' }));
  await waitUntil('every engine serves the new version', async () => {
    const loads = await Promise.all(ENGINES.map((id) => testSite.readEngineLoad(id)));
    return loads.every(({ weightVersion }) => weightVersion === 'v2');
  });
  const { peak, started: startedLoads } = await site.readCounts<{ peak: number; started: number }>(
    'weights',
  );
  expect(peak).toBeLessThanOrEqual(MAX_CONCURRENT_LOADS);
  expect(startedLoads).toBe(ENGINES.length);
});
