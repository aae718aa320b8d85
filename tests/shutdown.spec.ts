import { afterAll, beforeAll, expect, test } from 'vitest';
import { listFaults, startLoad, TestSite } from './harness/index.js';

const CALLERS = 9;

const started = new TestSite();
const { site } = started;

beforeAll(() => site.start());
afterAll(() => site.stop());

test('SIGTERM under load cuts no request', async () => {
  const load = await startLoad(started, CALLERS);
  const exit = await site.shutdown('entry-1');
  expect(exit).toEqual({ code: 0, signal: null });
  await site.removeVm('entry-1');
  expect(listFaults(await load.stop())).toEqual([]);
  await site.restart('entry-1');
  await site.setVmState('entry-1', 'live');
});

test('every entry VM is replaced under load without a cut', async () => {
  const load = await startLoad(started, CALLERS);
  for (const id of ['entry-1', 'entry-2', 'entry-3']) {
    await site.setVmState(id, 'leaving');
    expect(await site.shutdown(id)).toEqual({ code: 0, signal: null });
    await site.restart(id);
    await site.setVmState(id, 'live');
  }
  expect(listFaults(await load.stop())).toEqual([]);
});
