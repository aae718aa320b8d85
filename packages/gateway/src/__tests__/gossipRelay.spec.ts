import { createSocket } from 'node:dgram';
import { setTimeout as pause } from 'node:timers/promises';
import { expect, onTestFinished, test, vi } from 'vitest';
import {
  AnnouncedRates,
  EntryRoster,
  FleetRateLimits,
  CrashQuarantine,
  PeerLoads,
  PeerWaiting,
  SentParts,
  UpstreamRegistry,
  ZoneRelays,
  toId,
} from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  BootId,
  EntryHeartbeat,
  ModelId,
  Prompt,
  PromptPartId,
  ServiceName,
  UpstreamId,
  VmId,
  WaitingRow,
  WholeRequest,
} from '@goldcrestscale/core';
import { createLogger } from '@goldcrestscale/runtime';
import { RELAYED_GOSSIP_INTERVAL_MS } from '../constants.js';
import { createTestFaults } from './testFaults.js';
import { Gossip } from '../mesh/gossip.js';

const logger = createLogger({ part: 'test', level: 'error', format: 'json' });

/** Engines that end at longer intervals than this have no common cause such as a rack. */
const CRASH_INTERVAL_MS = 120;

const upstreamId = toId<UpstreamId>('engine');

const findPort = (): Promise<number> =>
  new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.bind(0, '127.0.0.1', () => {
      const { port } = socket.address();
      socket.close(() => resolve(port));
    });
  });

const makeEntry = (name: string, zone: string, size: number, port: number): EntryHeartbeat => ({
  vmId: toId<VmId>(name),
  bootId: toId<BootId>('boot'),
  availabilityZone: toId<AvailabilityZoneId>(zone),
  address: `127.0.0.1:${port}`,
  meshAddress: `127.0.0.1:${port}`,
  meshKey: `key of ${name}`,
  leaving: false,
  size,
});

/** Starts the gossip of one VM that has some requests in flight at the engine. */
const startGossip = async (
  entry: EntryHeartbeat,
  entries: readonly EntryHeartbeat[],
  inFlight: number,
  signal: AbortSignal,
  waiting: readonly WaitingRow[] = [],
) => {
  const roster = new EntryRoster();
  entries.forEach((heartbeat) => roster.recordHeartbeat(heartbeat));
  const peerLoads = new PeerLoads(1_500);
  const peerWaiting = new PeerWaiting(1_500);
  const registry = new UpstreamRegistry(peerLoads);
  registry.apply({
    kind: 'present',
    upstream: {
      upstreamId,
      service: toId<ServiceName>('service'),
      address: '127.0.0.1:1',
      availabilityZone: entry.availabilityZone,
      slots: 8,
      draining: false,
      coldRemainingMs: 0,
      weights: [],
      heartbeat: 1,
      startedAtMs: 1,
    },
  });
  for (let count = 0; count < inFlight; count += 1) registry.find(upstreamId)!.recordDispatch(100);
  const quarantine = new CrashQuarantine();
  const announcedRates = new AnnouncedRates();
  const rateLimits = new FleetRateLimits({
    self: entry.vmId,
    rates: announcedRates,
    listServing: () => roster.listServing().map(({ vmId }) => vmId),
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called later
    sendPermitRequest: (granter, request) => gossip.sendPermitRequest(granter, request),
  });
  const gossip = new Gossip({
    self: entry.vmId,
    address: entry.meshAddress,
    key: entry.meshKey,
    roster,
    relays: new ZoneRelays(roster, entry.vmId, entry.availabilityZone),
    registry,
    peerLoads,
    peerWaiting,
    places: { listWaiting: () => waiting },
    sentParts: new SentParts(),
    quarantine,
    announcedRates,
    rateLimits,
    listLoading: () => [],
    hasReadFor: () => true,
    reach: { isCutOff: false, hasContactSince: () => true },
    logger,
    faults: createTestFaults().faults,
  });
  const endController = new AbortController();
  await gossip.start(AbortSignal.any([signal, endController.signal]));
  const sumPeers = (): number => peerLoads.getTotals(upstreamId).inFlight;
  const end = (): void => endController.abort();
  return { sumPeers, peerWaiting, quarantine, announcedRates, rateLimits, gossip, roster, end };
};

/**
 * Starts two relays of one zone, another VM of it, and the relay of a second zone.
 *
 * @param linkMbps bandwidth of the VMs of the first zone
 */
const startRelayedFleet = async (linkMbps = 1_000) => {
  const abortController = new AbortController();
  onTestFinished(() => abortController.abort());
  const ports = await Promise.all(Array.from({ length: 4 }, () => findPort()));
  const makeFirstZoneEntry = (name: string, size: number, port: number): EntryHeartbeat => ({
    ...makeEntry(name, 'z1', size, port),
    linkMbps,
  });
  const relay = makeFirstZoneEntry('relay', 9, ports[0]!);
  const second = makeFirstZoneEntry('second', 8, ports[1]!);
  const member = makeFirstZoneEntry('member', 1, ports[2]!);
  const foreign = makeEntry('foreign', 'z2', 9, ports[3]!);
  const silent = Array.from({ length: 20 }, (_, index) =>
    index % 2 === 0
      ? makeFirstZoneEntry(`silent-${index}`, 1, 9)
      : makeEntry(`silent-${index}`, 'z2', 1, 9),
  );
  const entries = [relay, second, member, foreign, ...silent];
  return Promise.all(
    [relay, second, member, foreign].map((entry, index) =>
      startGossip(entry, entries, index + 1, abortController.signal),
    ),
  );
};

// Guards also against a zone whose VMs can't relay and that is left out.
test.each([1_000, 7])(
  'relays the load of the other VMs to each VM (%i Mbit/s)',
  async (linkMbps) => {
    const vms = await startRelayedFleet(linkMbps);
    // The VMs have 1, 2, 3 and 4 requests in flight, 10 in total; each VM sees those of the others.
    await vi.waitFor(() => expect(vms.map(({ sumPeers }) => sumPeers())).toEqual([9, 8, 7, 6]), {
      timeout: 5_000,
      interval: 50,
    });
  },
);

// Guards against VMs that ended while the log is down and are in the directory's answers on and on.
test('each VM of a zone learns who falls silent while the log is down', async () => {
  const vms = await startRelayedFleet();
  const [relay, second, member] = vms;
  vms.forEach(({ roster }) => roster.recordLogOutage());
  await pause(3 * RELAYED_GOSSIP_INTERVAL_MS);
  second!.end();
  const listSilent = ({ roster }: (typeof vms)[number]) =>
    ['relay', 'second', 'member', 'silent-0'].filter((name) => roster.isSilent(toId<VmId>(name)));
  await vi.waitFor(
    () => expect([relay!, member!].map(listSilent)).toEqual([['second'], ['second']]),
    { timeout: 5_000, interval: 50 },
  );
});

// Guards against a VM behind a relay that keeps sending prompts which crash engines elsewhere.
test('relays a crashing prompt part to each VM', async () => {
  const vms = await startRelayedFleet();
  const prompt: Prompt = {
    model: toId<ModelId>('model'),
    inputTokens: 1,
    maxOutputTokens: 1,
    parts: ['poison', 'own'].map((id) => ({ id: toId<PromptPartId>(id), tokens: 1 })),
  };
  const origin = vms[2]!.quarantine;
  for (let index = 0; index < 6; index += 1) {
    origin.recordCrash({ prompt, account: undefined }, { upstreamId, startedAtMs: index });
    await pause(CRASH_INTERVAL_MS);
  }
  await vi.waitFor(
    () =>
      expect(
        vms.map(({ quarantine }) => quarantine.findRefused({ prompt, account: undefined })?.label),
      ).toEqual(vms.map(() => 'poison')),
    { timeout: 3_000, interval: 50 },
  );
});

// Guards against upstreams that end under one request while relays still wait for their interval.
test('reports the end of an upstream under a request to all VMs directly', async () => {
  const vms = await startRelayedFleet();
  const request: WholeRequest = {
    method: 'GET',
    host: 'site.example',
    target: '/a/1',
    body: Buffer.alloc(0),
    account: undefined,
  };
  vms[2]!.quarantine.recordCrash(request, { upstreamId, startedAtMs: 1 });
  vms[2]!.gossip.reportCrashes();
  const startedAtMs = performance.now();
  await vi.waitFor(
    () =>
      expect(vms.map(({ quarantine }) => quarantine.hasSuspect(request))).toEqual(
        vms.map(() => true),
      ),
    { timeout: 3_000, interval: 5 },
  );
  expect(performance.now() - startedAtMs).toBeLessThan(RELAYED_GOSSIP_INTERVAL_MS);
});

// Guards against a VM that sends at its own rate to an upstream whose limit only others have received.
test('relays an announced rate limit, and its end, to each VM', async () => {
  const vms = await startRelayedFleet();
  const boot = { upstreamId, startedAtMs: 1 };
  const findRates = () => vms.map(({ announcedRates }) => announcedRates.find(boot));
  vms[2]!.announcedRates.record(boot, 2.2);
  await vi.waitFor(
    () => expect(findRates().map((limit) => limit?.requestsPerSecond)).toEqual(vms.map(() => 2.2)),
    { timeout: 3_000, interval: 50 },
  );
  vms[3]!.announcedRates.record(boot, undefined);
  await vi.waitFor(() => expect(findRates()).toEqual(vms.map(() => undefined)), {
    timeout: 3_000,
    interval: 50,
  });
});

test('VMs that share an upstream with a rate limit get its permits one after the other', async () => {
  const vms = await startRelayedFleet();
  // The granter of this boot is one of the VMs that run.
  const listGranters = (startedAtMs: number): readonly string[] => {
    vms[0]!.announcedRates.record({ upstreamId, startedAtMs }, 2);
    return vms[0]!.rateLimits.dump()[0]!.granters;
  };
  const running = ['relay', 'second', 'member', 'foreign'];
  let startedAtMs = 1;
  while (!running.includes(listGranters(startedAtMs)[0]!)) startedAtMs += 1;
  const boot = { upstreamId, startedAtMs };
  vms.forEach(({ announcedRates }) => announcedRates.record(boot, 2));
  // A VM grants the larger fraction only after it has been the first granter for a while.
  await pause(2_200);
  const demand = { maxWaitMs: 0, priority: 0 };
  await Promise.all(vms.map(({ rateLimits }) => rateLimits.acquire(boot, demand)));
  const taken = vms.filter(({ rateLimits }) => rateLimits.tryTake(boot));
  expect(taken.length).toBeGreaterThanOrEqual(1);
  // One may be made up for after a time without requests.
  expect(taken.length).toBeLessThanOrEqual(2);
});
