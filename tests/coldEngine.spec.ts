import { afterAll, beforeAll, expect, test } from 'vitest';
import { listErrors, startLoad, TestSite, waitUntil } from './harness/index.js';

const CLIENT_COUNT = 18;
const COLD_COMPLETIONS = 8;
const ENGINES = ['engine-1', 'engine-2', 'engine-3'] as const;

const testSite = new TestSite({
  engine: { coldCompletions: COLD_COMPLETIONS, coldConcurrent: 1 },
});
const { site } = testSite;

beforeAll(() => site.start());
afterAll(() => site.stop());

const countColdCrashes = async (): Promise<number> => {
  const counts = await Promise.all(ENGINES.map((id) => testSite.readEngineCounts(id)));
  return counts.reduce((sum, { falls }) => sum + falls, 0);
};

const waitUntilWarm = (id: string): Promise<void> =>
  waitUntil(`${id} has left its cold state`, async () => !(await testSite.readEngineLoad(id)).cold);

test('three entry VMs together do not exceed the concurrency limit of cold engines', async () => {
  const load = await startLoad(testSite, CLIENT_COUNT);
  await Promise.all(ENGINES.map(waitUntilWarm));
  expect(await countColdCrashes()).toBe(0);
  expect(listErrors(await load.stop())).toEqual([]);
});

test('an engine that restarts unexpectedly is not sent more than its cold concurrency limit', async () => {
  const load = await startLoad(testSite, CLIENT_COUNT);
  const crashesBefore = await countColdCrashes();
  const before = (await testSite.readEngineLoad('engine-1')).bootId;
  await site.setFaults('engine-1', { restart: true });
  await waitUntil('engine-1 reports a new boot ID', async () => {
    const { bootId } = await testSite.readEngineLoad('engine-1');
    return bootId !== '' && bootId !== before;
  });
  await waitUntilWarm('engine-1');
  await load.stop();
  expect(await countColdCrashes()).toBe(crashesBefore);
});
