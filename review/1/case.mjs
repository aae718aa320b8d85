/** One answer of one server is no response; the daemon ends and cuts the requests at sound servers. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createChannel, sendRequest } from '../lib/client.mjs';
import { Daemon } from '../lib/daemon.mjs';
import { RunRecord, pause } from '../lib/net.mjs';
import { countUnanswered, openChannels, sendOrders } from '../lib/orders.mjs';
import { PlatformStore } from '../lib/platform.mjs';
import { HEADER, PlainServer, writeConfiguration } from '../lib/service.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const record = new RunRecord(fileURLToPath(new URL('record.txt', import.meta.url)));
const folder = await mkdtemp(join(tmpdir(), 'review-'));
const HOST = 'site.example';
const CLIENTS = 8;
/** More than this many cut channels break the rule. */
const MAX_CUT = 3;
const ORDER_MS = 3_000;
/** garble: a share of 0.35 of the servers, and 0.02 of their answers, at most. */
const LOOKUP_SERVERS = 3;
const SOUND_ANSWERS = 60;

/** A server of which one answer, after many sound ones, has a status line that is none of HTTP. */
class FaultyServer extends PlainServer {
  get mustSpoil() {
    return this.runs.length > SOUND_ANSWERS;
  }

  async work(request, response, run) {
    if (!isTroubled || !this.mustSpoil || this.hasSpoiled) {
      await super.work(request, response, run);
      return;
    }
    this.hasSpoiled = true;
    record.write(
      `${this.id}: answers ${run.attempt} with bytes that are no response, after ${this.runs.length - 1} sound answers`,
    );
    response.socket.write(
      `HTTP/1.1 000\r\n${HEADER.attempt}: ${run.attempt}\r\nContent-Length: 2\r\n\r\nno`,
    );
  }
}

const store = new PlatformStore();
await store.start();
const daemon = new Daemon({
  vmId: 'vm-1',
  zone: 'zone-a',
  storeAddress: store.address,
  folder,
  record,
});
const common = { zone: 'zone-a', store, record };
const orderServer = new PlainServer({
  ...common,
  id: 'orders-1',
  service: 'orders',
  workMs: ORDER_MS,
  slots: 32,
});
const lookupServers = Array.from({ length: LOOKUP_SERVERS }, (_value, index) => {
  const options = { ...common, id: `lookups-${index}`, service: 'lookups', workMs: 5 };
  return index === 0 ? new FaultyServer(options) : new PlainServer(options);
});
const [faulty] = lookupServers;

let exitCode = 2;
try {
  await Promise.all([orderServer, ...lookupServers].map((server) => server.start()));
  writeConfiguration(store, {
    host: HOST,
    routes: [
      { name: 'orders', path_prefix: '/orders/', kind: 'unsafe', service: 'orders' },
      { name: 'lookups', path_prefix: '/lookups/', kind: 'safe', attempts: 2, service: 'lookups' },
    ],
    services: [{ name: 'orders' }, { name: 'lookups' }],
  });
  await daemon.prepare();
  daemon.spawn();
  await daemon.waitUntilReady();
  await pause(4_000);
  const target = { port: daemon.callerPort, host: HOST };
  const agent = createChannel();
  const lookUp = () => sendRequest({ ...target, path: `/lookups/${faulty.runs.length}`, agent });
  while (faulty.runs.length < SOUND_ANSWERS) {
    const { attempt, status } = await lookUp();
    if (status !== 200) record.write(`client: lookup ${attempt} ended with ${status}`);
  }
  record.write(`${faulty.id}: ${faulty.runs.length} sound answers`);
  const channels = openChannels(CLIENTS);
  // The first request of each channel, so that the next one comes on a kept channel.
  const first = await sendOrders(channels, { ...target, path: '/orders/first/' });
  if (first.some(({ status }) => status !== 200))
    throw new Error('the first requests were not served');
  record.write(`client: ${first.length} orders answered with 200`);
  const running = sendOrders(channels, { ...target, path: '/orders/second/' });
  await pause(500);
  while (!faulty.mustSpoil && daemon.isRunning) {
    const { attempt, status, failure } = await lookUp();
    record.write(`client: lookup ${attempt} ended with ${status} ${failure}`.trim());
  }
  const cut = countUnanswered(await running, orderServer.runs, record);
  await pause(500);
  record.write(`the daemon ended by itself ${daemon.exits} times`);
  record.write(`${cut} of ${CLIENTS} orders at a sound server have no answer; allowed ${MAX_CUT}`);
  exitCode = cut > MAX_CUT ? 1 : 0;
} catch (error) {
  record.write(`could not run: ${error.message}`);
} finally {
  await daemon.end();
  [orderServer, ...lookupServers].forEach((server) => server.stop());
  store.stop();
  await rm(folder, { recursive: true, force: true });
}
await record.finish(exitCode);
