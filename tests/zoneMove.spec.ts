import { setTimeout as sleep } from 'node:timers/promises';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { listFaults, startLoad, TestSite, waitUntil } from './harness/index.js';

const ZONE_LEAVE_MS = 3_000;
const CALLERS = 9;

const started = new TestSite();
const { site } = started;

beforeAll(() => site.start());
afterAll(() => site.stop());

test('a zone that is out gets no new work and no request fails', async () => {
  const load = await startLoad(started, CALLERS);
  await waitUntil(
    'the zone has work',
    async () => (await started.readEngineCounts('engine-3')).completions > 0,
  );
  await site.table.setZone('zone-c', 'out');
  await sleep(ZONE_LEAVE_MS);
  const before = (await started.readEngineCounts('engine-3')).completions;
  const served = load.ended.length;
  await waitUntil('the others serve', () => load.ended.length > served + 3 * CALLERS);
  expect((await started.readEngineCounts('engine-3')).completions).toBe(before);
  await site.table.setZone('zone-c', 'in');
  await waitUntil(
    'the zone has work again',
    async () => (await started.readEngineCounts('engine-3')).completions > before,
  );
  expect(listFaults(await load.stop())).toEqual([]);
});

test('a leaving engine gets no new work though the VM list lags', async () => {
  await site.setFaults('vmlist', { lagMs: 60_000 });
  await site.setFaults('engine-1', { leaving: true });
  await sleep(ZONE_LEAVE_MS);
  const before = (await started.readEngineCounts('engine-1')).completions;
  const load = await startLoad(started, CALLERS);
  const served = load.ended.length;
  await waitUntil('the others serve', () => load.ended.length > served + 3 * CALLERS);
  expect(listFaults(await load.stop())).toEqual([]);
  expect((await started.readEngineCounts('engine-1')).completions).toBe(before);
});
