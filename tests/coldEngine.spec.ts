import { afterAll, beforeAll, expect, test } from 'vitest';
import { listFaults, startLoad, TestSite, waitUntil } from './harness/index.js';

const CALLERS = 18;
const COLD_COMPLETIONS = 8;
const ENGINES = ['engine-1', 'engine-2', 'engine-3'] as const;

const started = new TestSite({
  engine: { coldCompletions: COLD_COMPLETIONS, coldConcurrent: 1 },
});
const { site } = started;

beforeAll(() => site.start());
afterAll(() => site.stop());

const countFalls = async (): Promise<number> => {
  const counts = await Promise.all(ENGINES.map((id) => started.readEngineCounts(id)));
  return counts.reduce((sum, { falls }) => sum + falls, 0);
};

const waitUntilWarm = (id: string): Promise<void> =>
  waitUntil(`${id} is warm`, async () => !(await started.readEngineLoad(id)).cold);

test('three entry VMs together give cold engines no more than they bear', async () => {
  const load = await startLoad(started, CALLERS);
  await Promise.all(ENGINES.map(waitUntilWarm));
  expect(await countFalls()).toBe(0);
  expect(listFaults(await load.stop())).toEqual([]);
});

test('an engine that restarts without notice gets no more than it bears', async () => {
  const load = await startLoad(started, CALLERS);
  const fallsBefore = await countFalls();
  const before = (await started.readEngineLoad('engine-1')).bootId;
  await site.setFaults('engine-1', { restart: true });
  await waitUntil('a new run', async () => {
    const { bootId } = await started.readEngineLoad('engine-1');
    return bootId !== '' && bootId !== before;
  });
  await waitUntilWarm('engine-1');
  await load.stop();
  expect(await countFalls()).toBe(fallsBefore);
});
