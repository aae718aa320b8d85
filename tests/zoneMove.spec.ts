import { setTimeout as sleep } from 'node:timers/promises';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { listErrors, startLoad, TestSite, waitUntil } from './harness/index.js';

const ZONE_DRAIN_MS = 3_000;
const CLIENT_COUNT = 9;

const testSite = new TestSite();
const { site } = testSite;

beforeAll(() => site.start());
afterAll(() => site.stop());

test('a zone taken out of service gets no new requests and no request fails', async () => {
  const load = await startLoad(testSite, CLIENT_COUNT);
  await waitUntil(
    'the zone serves requests',
    async () => (await testSite.readEngineCounts('engine-3')).completions > 0,
  );
  await site.table.setZone('zone-c', 'out');
  await sleep(ZONE_DRAIN_MS);
  const before = (await testSite.readEngineCounts('engine-3')).completions;
  const served = load.completions.length;
  await waitUntil(
    'the other zones serve',
    () => load.completions.length > served + 3 * CLIENT_COUNT,
  );
  expect((await testSite.readEngineCounts('engine-3')).completions).toBe(before);
  await site.table.setZone('zone-c', 'in');
  await waitUntil(
    'the zone serves requests again',
    async () => (await testSite.readEngineCounts('engine-3')).completions > before,
  );
  expect(listErrors(await load.stop())).toEqual([]);
});

test('a leaving engine gets no new requests even while the VM list is stale', async () => {
  await site.setFaults('vmlist', { lagMs: 60_000 });
  await site.setFaults('engine-1', { leaving: true });
  await sleep(ZONE_DRAIN_MS);
  const before = (await testSite.readEngineCounts('engine-1')).completions;
  const load = await startLoad(testSite, CLIENT_COUNT);
  const served = load.completions.length;
  await waitUntil(
    'the other engines serve',
    () => load.completions.length > served + 3 * CLIENT_COUNT,
  );
  expect(listErrors(await load.stop())).toEqual([]);
  expect((await testSite.readEngineCounts('engine-1')).completions).toBe(before);
});
