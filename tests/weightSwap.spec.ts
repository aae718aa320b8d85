import { afterAll, beforeAll, expect, test } from 'vitest';
import { rowSchema } from '@goldcrestscale/core';
import { TestSite, waitUntil } from './harness/index.js';

const ENGINES = ['engine-1', 'engine-2', 'engine-3'] as const;
const MOST_LOADS_AT_ONCE = 2;

const started = new TestSite();
const { site } = started;

beforeAll(() => site.start());
afterAll(() => site.stop());

test('a new weight version reaches every engine, at most two at once', async () => {
  await site.table.putRow(rowSchema.parse({ kind: 'model', id: 'house', version: 'v2' }));
  await waitUntil('every engine has it', async () => {
    const loads = await Promise.all(ENGINES.map((id) => started.readEngineLoad(id)));
    return loads.every(({ weightVersion }) => weightVersion === 'v2');
  });
  const { peak, started: starts } = await site.readCounts<{ peak: number; started: number }>(
    'weights',
  );
  expect(peak).toBeLessThanOrEqual(MOST_LOADS_AT_ONCE);
  expect(starts).toBe(ENGINES.length);
});
