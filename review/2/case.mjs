/** A daemon that drains after SIGTERM gets the signal once more, and ends at once. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Daemon } from '../lib/daemon.mjs';
import { RunRecord, pause } from '../lib/net.mjs';
import { countUnanswered, openChannels, sendOrders } from '../lib/orders.mjs';
import { PlatformStore } from '../lib/platform.mjs';
import { PlainServer, writeConfiguration } from '../lib/service.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const record = new RunRecord(fileURLToPath(new URL('record.txt', import.meta.url)));
const folder = await mkdtemp(join(tmpdir(), 'review-'));
const HOST = 'site.example';
const CLIENTS = 8;
const WORK_MS = 2_000;
const SIGNAL_GAP_MS = 1_000;

const store = new PlatformStore();
await store.start();
const daemon = new Daemon({
  vmId: 'vm-1',
  zone: 'zone-a',
  storeAddress: store.address,
  folder,
  record,
});
const server = new PlainServer({
  id: 'server-1',
  service: 'orders',
  zone: 'zone-a',
  store,
  workMs: WORK_MS,
  slots: 32,
  record,
});

let exitCode = 2;
try {
  await server.start();
  writeConfiguration(store, {
    host: HOST,
    routes: [{ name: 'orders', path_prefix: '/orders/', kind: 'unsafe', service: 'orders' }],
    services: [{ name: 'orders' }],
  });
  await daemon.prepare();
  daemon.spawn();
  await daemon.waitUntilReady();
  await pause(4_000);
  const channels = openChannels(CLIENTS);
  const target = { port: daemon.callerPort, host: HOST };
  const first = await sendOrders(channels, { ...target, path: '/orders/first/' });
  if (first.some(({ status }) => status !== 200))
    throw new Error('the first requests were not served');
  record.write(`client: ${first.length} orders answered with 200`);
  const running = sendOrders(channels, { ...target, path: '/orders/second/' });
  await pause(300);
  daemon.signal('SIGTERM');
  await pause(SIGNAL_GAP_MS);
  if (isTroubled) daemon.signal('SIGTERM');
  const unanswered = countUnanswered(await running, server.runs, record);
  record.write(`${unanswered} of ${CLIENTS} orders ran and have no answer; allowed 0`);
  exitCode = unanswered > 0 ? 1 : 0;
} catch (error) {
  record.write(`could not run: ${error.message}`);
} finally {
  await daemon.end();
  server.stop();
  store.stop();
  await rm(folder, { recursive: true, force: true });
}
await record.finish(exitCode);
