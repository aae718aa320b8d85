import { afterAll, beforeAll, expect, test } from 'vitest';
import { listErrors, startLoad, TestSite } from './harness/index.js';

const CLIENT_COUNT = 9;

const testSite = new TestSite();
const { site } = testSite;

beforeAll(() => site.start());
afterAll(() => site.stop());

test('SIGTERM under load interrupts no request', async () => {
  const load = await startLoad(testSite, CLIENT_COUNT);
  const exit = await site.shutdown('entry-1');
  expect(exit).toEqual({ code: 0, signal: null });
  await site.removeVm('entry-1');
  expect(listErrors(await load.stop())).toEqual([]);
  await site.restart('entry-1');
  await site.setVmState('entry-1', 'live');
});

test('a rolling restart of all entry VMs under load interrupts no request', async () => {
  const load = await startLoad(testSite, CLIENT_COUNT);
  for (const id of ['entry-1', 'entry-2', 'entry-3']) {
    await site.setVmState(id, 'leaving');
    expect(await site.shutdown(id)).toEqual({ code: 0, signal: null });
    await site.restart(id);
    await site.setVmState(id, 'live');
  }
  expect(listErrors(await load.stop())).toEqual([]);
});
