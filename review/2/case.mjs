/** The daemon that reads the store for the others is cut off from it while a server drains. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createChannel, sendRequest } from '../lib/client.mjs';
import { Daemon } from '../lib/daemon.mjs';
import { RunRecord, pause } from '../lib/net.mjs';
import { PlatformStore } from '../lib/platform.mjs';
import { CuttableProxy } from '../lib/proxy.mjs';
import { PlainServer, writeConfiguration } from '../lib/service.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const record = new RunRecord(fileURLToPath(new URL('record.txt', import.meta.url)));
const folder = await mkdtemp(join(tmpdir(), 'review-'));
const HOST = 'site.example';
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const DAEMONS = 8;
const DRAIN_MS = 2_000;
/** A server goes on for a little longer, then it exits. */
const LONGER_MS = 600;
/** core_cut: 5.5 s at most. */
const CUT_MS = 3_000;
const ROUNDS = 14;
const ROUND_MS = 5_900;
const SERVERS = 4;
const REQUESTS_PER_S = 50;
const SECOND_MS = 1_000;

const store = new PlatformStore();
await store.start();
const proxy = new CuttableProxy(store.port);
await proxy.start();
/** Two of the machines are larger than the others, as on a site with machines of several kinds. */
const daemons = Array.from(
  { length: DAEMONS },
  (_value, index) =>
    new Daemon({
      vmId: `vm-${index}`,
      zone: ZONES[index % ZONES.length],
      storeAddress: index === 0 ? proxy.address : store.address,
      linkMbps: [1_000, 900][index] ?? 500,
      folder,
      record,
    }),
);
let created = 0;
const addServer = async () => {
  const zone = ZONES[created % ZONES.length];
  const server = new PlainServer({
    id: `server-${created}`,
    service: 'orders',
    zone,
    store,
    workMs: 20,
    slots: 32,
    record,
  });
  created += 1;
  await server.start();
  return server;
};

const outcomes = new Map();
let isOver = false;
const sendLoad = async (daemon) => {
  const agents = Array.from({ length: 8 }, createChannel);
  let index = 0;
  while (!isOver) {
    index += 1;
    sendRequest({
      port: daemon.callerPort,
      host: HOST,
      path: `/orders/${daemon.vmId}/${index}`,
      method: 'POST',
      body: 'order',
      agent: agents[index % agents.length],
      limitMs: 3_000,
    }).then(({ status }) => outcomes.set(status, (outcomes.get(status) ?? 0) + 1));
    await pause(SECOND_MS / REQUESTS_PER_S);
  }
};

const servers = [];
let exitCode = 2;
try {
  for (let index = 0; index < SERVERS; index += 1) servers.push(await addServer());
  writeConfiguration(store, {
    host: HOST,
    routes: [{ name: 'orders', path_prefix: '/orders/', kind: 'unsafe', service: 'orders' }],
    services: [{ name: 'orders' }],
  });
  for (const daemon of daemons) await daemon.prepare();
  daemons.forEach((daemon) => daemon.spawn());
  await Promise.all(daemons.map((daemon) => daemon.waitUntilReady()));
  await pause(6_000);
  const loads = daemons.map(sendLoad);
  const late = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    servers.push(await addServer());
    // The moments of the rounds differ from the intervals at which the daemons read.
    await pause(ROUND_MS - DRAIN_MS - LONGER_MS + round * 37);
    const leaving = servers.shift();
    if (isTroubled) {
      proxy.cut();
      record.write('vm-0 is cut off from the store');
      setTimeout(() => {
        proxy.heal();
        record.write('vm-0 reaches the store again');
      }, CUT_MS);
    }
    leaving.drain();
    const acceptedAt = performance.now();
    record.write(`${leaving.id}: draining, accepted by the store`);
    await pause(DRAIN_MS + LONGER_MS);
    leaving.stop();
    const lateHere = leaving.runs.filter(
      ({ path, arrivedAt }) =>
        arrivedAt > acceptedAt + DRAIN_MS && !path.startsWith('/orders/vm-0/'),
    );
    lateHere.forEach(({ attempt, path, arrivedAt }) =>
      record.write(
        `${leaving.id}: ran ${attempt} (${path}), which arrived ${Math.round(arrivedAt - acceptedAt)} ms after that`,
      ),
    );
    record.write(
      `${leaving.id}: ended; ${lateHere.length} requests came later than ${DRAIN_MS} ms from machines in touch`,
    );
    late.push(...lateHere);
  }
  isOver = true;
  await Promise.all(loads);
  record.write(`clients: answers by status ${JSON.stringify([...outcomes])}`);
  record.write(
    `${late.length} requests reached a server later than ${DRAIN_MS} ms after its draining was accepted; allowed 0`,
  );
  exitCode = late.length > 0 ? 1 : 0;
} catch (error) {
  record.write(`could not run: ${error.message}`);
} finally {
  isOver = true;
  await Promise.all(daemons.map((daemon) => daemon.end()));
  servers.forEach((server) => server.stop());
  proxy.stop();
  store.stop();
  await rm(folder, { recursive: true, force: true });
}
await record.finish(exitCode);
