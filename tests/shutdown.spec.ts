import { readFileSync } from 'node:fs';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { sleep } from '@goldcrestscale/core';
import { waitUntil } from '../scripts/site/httpJson.js';
import { listErrors, startLoad, TestSite } from './harness/index.js';

const CLIENT_COUNT = 9;

const SIGNAL_INTERVAL_MS = 200;

const ORDERLY_EXIT = { code: 0, signal: null };

/** Whether the process has a handler for SIGHUP, the first signal. */
const isHandlingSignals = (pid: number): boolean => {
  const caught = /^SigCgt:\s+([\da-f]+)$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1];
  return caught !== undefined && BigInt(`0x${caught}`) % 2n === 1n;
};

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

// A second stop signal ended the daemon at once, with the requests that it ran.
test('repeated and mixed signals under load interrupt no request', async () => {
  const load = await startLoad(testSite, CLIENT_COUNT);
  const daemon = site.getProcess('entry-1');
  for (const name of ['SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGINT'] as const) {
    daemon.sendSignal(name);
    await sleep(SIGNAL_INTERVAL_MS);
  }
  expect(await daemon.waitForExit()).toEqual(ORDERLY_EXIT);
  await site.removeVm('entry-1');
  expect(listErrors(await load.stop())).toEqual([]);
  await site.restart('entry-1');
  await site.setVmState('entry-1', 'live');
});

// Signals while the program was being loaded had their default action.
test('signals during the start end nothing, or end it in order', async () => {
  await site.shutdown('entry-1');
  const daemon = site.getProcess('entry-1');
  daemon.start();
  await waitUntil('signals handled', () => isHandlingSignals(daemon.pid), 10_000, 2);
  daemon.sendSignal('SIGHUP');
  await waitUntil('ready', () => daemon.isReady(), 20_000);
  daemon.sendSignal('SIGTERM');
  expect(await daemon.waitForExit()).toEqual(ORDERLY_EXIT);

  daemon.start();
  await waitUntil('signals handled', () => isHandlingSignals(daemon.pid), 10_000, 2);
  daemon.sendSignal('SIGTERM');
  expect(await daemon.waitForExit()).toEqual(ORDERLY_EXIT);
  await site.restart('entry-1');
});
