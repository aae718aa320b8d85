import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { expect, onTestFinished, test, vi } from 'vitest';
import {
  EntryRoster,
  PeerLoads,
  UpstreamReach,
  UpstreamRegistry,
  createRandomGenerator,
  sleep,
  toId,
} from '@goldcrestscale/core';
import type { UpstreamId, VmId } from '@goldcrestscale/core';
import { createLogger, createMetricsRegistry } from '@goldcrestscale/runtime';
import { ConnectionPool } from '../dispatch/connectionPool.js';
import type { ConnectionRequest } from '../dispatch/upstreamConnection.js';
import { DirectLink } from '../dispatch/directLink.js';
import { TunnelLink } from '../dispatch/tunnelLink.js';
import { FeedServer } from '../mesh/feedServer.js';
import { PeerPaths } from '../mesh/peerPaths.js';
import { TunnelServer } from '../mesh/tunnelServer.js';
import { createGatewayMetrics } from '../metrics.js';
import { createSocketShares } from '../socketShares.js';
import { findPort, keepHeartbeats, makeEntry } from './feedFixtures.js';
import { createTestFaults } from './testFaults.js';
import { buildTestUpstream } from './testUpstream.js';

const UPSTREAM = toId<UpstreamId>('up-1');
const LARGE_BODY = 'x'.repeat(2_000_000);

/** Starts an upstream that handles connections by itself. */
const startUpstream = async (handle: (socket: Socket) => void): Promise<string> => {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    handle(socket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  onTestFinished(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const createRegistry = (address: string): UpstreamRegistry => {
  const registry = new UpstreamRegistry(new PeerLoads(1_500));
  registry.apply({ kind: 'present', upstream: buildTestUpstream(UPSTREAM, { address }) });
  return registry;
};

interface PeerState {
  readonly isCutOff?: boolean;
  readonly isLeaving?: boolean;
  /** Whether it knows the key of the VM that asks. */
  readonly isAcquainted?: boolean;
}

/** Starts a VM that extends connections of `vm-1` to an upstream. */
const startPeer = async (address: string, state: PeerState = {}) => {
  const { isCutOff = false, isLeaving = false, isAcquainted = true } = state;
  const port = await findPort();
  const roster = new EntryRoster();
  if (isAcquainted) keepHeartbeats(roster, [makeEntry('vm-1', 1, 1)]);
  const controller = new AbortController();
  const metrics = createGatewayMetrics(createMetricsRegistry());
  const tunnels = new TunnelServer({
    registry: createRegistry(address),
    reach: { isCutOff, recordContact: () => undefined },
    share: createSocketShares(1_024).upstreams,
    isLeaving: () => isLeaving,
    metrics,
  });
  const server = new FeedServer({
    address: `127.0.0.1:${port}`,
    key: 'key of vm-2',
    roster,
    logger: createLogger({ part: 'test', level: 'error', format: 'json' }),
    faults: createTestFaults().faults,
    metrics,
    memoryBytes: 1_000_000,
    linkMbps: 1_000,
    listPositions: () => [],
    listStores: () => [],
    scanBlocks: () => ({ nextPart: () => undefined }),
    onStreamRecord: () => undefined,
    onTunnel: (socket, upstreamId) => tunnels.accept(socket, upstreamId),
    isAlive: () => true,
  });
  await server.start(controller.signal);
  onTestFinished(() => {
    controller.abort();
    tunnels.close();
  });
  return { port, metrics, tunnels };
};

/** Creates the connections of `vm-1`, which is cut off and may ask the VMs at some ports. */
const createAsker = (ports: readonly number[]) => {
  const roster = new EntryRoster();
  const peers = ports.map((port, index) => makeEntry(`vm-${index + 2}`, port, 1));
  keepHeartbeats(roster, [makeEntry('vm-1', 1, 1), ...peers]);
  let opened = 0;
  const paths = new PeerPaths({
    self: toId<VmId>('vm-1'),
    key: 'key of vm-1',
    roster,
    random: createRandomGenerator(1),
    onTunnelOpen() {
      opened += 1;
    },
  });
  const pool = new ConnectionPool(() => undefined, undefined, {
    findTunneling: () => (paths.hasPeer ? 'all' : 'none'),
    createDirect: (address) => new DirectLink(address),
    createTunnel: (upstreamId) => new TunnelLink(upstreamId, paths),
  });
  onTestFinished(() => pool.close());
  const acquire = () => pool.acquire('127.0.0.1:1', 10, undefined, UPSTREAM)!;
  return { pool, paths, acquire, countTunnels: () => opened };
};

const request: ConnectionRequest = {
  method: 'GET',
  path: '/',
  headers: ['host', 'a'],
  body: Buffer.alloc(0),
};

/** Sends a request. @returns the length of the response's body, or the error that ended it */
const send = (connection: ReturnType<ReturnType<typeof createAsker>['acquire']>, body = '') =>
  new Promise<number | string>((resolve) => {
    let bytes = 0;
    connection.send(
      { ...request, body: Buffer.from(body) },
      {
        onSend: () => undefined,
        onHead: () => undefined,
        onData(chunk) {
          bytes += chunk.length;
        },
        onEnd: () => resolve(bytes),
        onError: (error) => resolve(error.message),
      },
    );
  });

const formatResponse = (body: string): string =>
  `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

const answerAll = (body: string) => (socket: Socket) => {
  socket.on('data', () => socket.write(formatResponse(body)));
};

test('a large response comes whole through another VM', async () => {
  const { port } = await startPeer(await startUpstream(answerAll(LARGE_BODY)));
  const { acquire, countTunnels } = createAsker([port]);
  const connection = acquire();
  await connection.waitForOpen();
  expect(await send(connection)).toBe(LARGE_BODY.length);
  expect(countTunnels()).toBe(1);
  expect(connection.via).toBe('vm-2');
});

test('a connection through another VM is kept for the next request', async () => {
  let opened = 0;
  const address = await startUpstream((socket) => {
    opened += 1;
    answerAll('whole')(socket);
  });
  const { port } = await startPeer(address);
  const { acquire, pool } = createAsker([port]);
  for (let count = 0; count < 3; count += 1) {
    const connection = acquire();
    await connection.waitForOpen();
    expect(await send(connection)).toBe(5);
    pool.release('127.0.0.1:1', connection);
  }
  expect(opened).toBe(1);
});

// Guards against a response that is cut short and looks complete, because it ends with its connection.
test.each([
  ['reset', ''],
  ['reset', LARGE_BODY.repeat(5)],
  ['closed', LARGE_BODY.repeat(5)],
] as const)(
  'a response that is %s in its middle is not whole behind another VM',
  async (end, body) => {
    const address = await startUpstream((socket) => {
      socket.once('data', () => {
        if (body !== '') socket.pause();
        socket.write('HTTP/1.1 200 OK\r\n\r\npart');
        setTimeout(() => (end === 'reset' ? socket.resetAndDestroy() : socket.end()), 50);
      });
    });
    const { port } = await startPeer(address);
    const { acquire } = createAsker([port]);
    const connection = acquire();
    await connection.waitForOpen();
    expect(await send(connection, body)).toEqual(expect.any(String));
  },
);

// Guards against upstreams that work on for callers who have left.
test('an abandoned request is abandoned behind another VM', async () => {
  const ends: string[] = [];
  const address = await startUpstream((socket) => {
    socket.on('error', () => ends.push('error'));
    socket.on('close', () => ends.push('close'));
  });
  const { port } = await startPeer(address);
  const { acquire } = createAsker([port]);
  const connection = acquire();
  await connection.waitForOpen();
  const sent = send(connection);
  setTimeout(() => connection.abort(), 50);
  await sent;
  await vi.waitFor(() => expect(ends).toContain('close'));
});

test.each([
  ['is cut off itself', { isCutOff: true }],
  ['leaves', { isLeaving: true }],
  ['does not know who asks', { isAcquainted: false }],
])('a VM that %s is not asked again at once', async (_text, state) => {
  const { port } = await startPeer(await startUpstream(answerAll('whole')), state);
  const { acquire, paths } = createAsker([port]);
  await expect(acquire().waitForOpen()).rejects.toThrow('vm-2 can not help');
  expect(paths.hasPeer).toBe(false);
});

test('an upstream that the other VM does not reach either is told apart', async () => {
  const { port } = await startPeer(`127.0.0.1:${await findPort()}`);
  const { acquire, paths } = createAsker([port]);
  await expect(acquire().waitForOpen()).rejects.toThrow('vm-2 can not reach the upstream');
  expect(paths.hasPeer).toBe(true);
});

test('a VM that has ended is not asked again at once', async () => {
  const { acquire, paths } = createAsker([await findPort()]);
  await expect(acquire().waitForOpen()).rejects.toThrow('vm-2 can not help');
  expect(paths.hasPeer).toBe(false);
});

test('tunnels that are closed make room for others', async () => {
  const { port, metrics } = await startPeer(await startUpstream(answerAll('whole')));
  const { acquire } = createAsker([port]);
  for (let count = 0; count < 20; count += 1) {
    const connection = acquire();
    await connection.waitForOpen();
    connection.close();
  }
  await vi.waitFor(async () => {
    expect(await metrics.render()).toContain('goldcrest_gateway_tunnels 0');
  });
});

test('idle connections are closed once new ones lead another way', async () => {
  const address = await startUpstream(answerAll('whole'));
  const reach = new UpstreamReach({
    countUpstreams: () => 1,
    hasReadFor: () => true,
    onChange: () => undefined,
  });
  const { port } = await startPeer(address);
  const { paths } = createAsker([port]);
  const pool = new ConnectionPool(() => undefined, undefined, {
    findTunneling: () => (reach.isCutOff ? 'all' : 'none'),
    createDirect: (target) => new DirectLink(target, reach),
    createTunnel: (upstreamId) => new TunnelLink(upstreamId, paths),
  });
  const direct = pool.acquire(address, 10, undefined, UPSTREAM)!;
  await direct.waitForOpen();
  await send(direct);
  pool.release(address, direct);
  reach.recordFailure(address);
  await vi.waitFor(() => expect(reach.isCutOff).toBe(true));
  const tunnel = pool.acquire(address, 10, undefined, UPSTREAM)!;
  await tunnel.waitForOpen();
  expect([direct.isOpen, await send(tunnel)]).toEqual([false, 5]);
  reach.recordConnect();
  pool.release(address, tunnel);
  expect(tunnel.isOpen).toBe(false);
});

// Guards against requests of other VMs that are cut because this one stops.
test('a VM that leaves closes the connections that carry nothing, and no others', async () => {
  let answer = (): void => undefined;
  const address = await startUpstream((socket) => {
    socket.once('data', () => {
      answer = () => socket.write(formatResponse('whole'));
    });
  });
  const { port, tunnels } = await startPeer(address);
  const { acquire } = createAsker([port]);
  const [idle, busy] = [acquire(), acquire()];
  await Promise.all([idle.waitForOpen(), busy.waitForOpen()]);
  const sent = send(busy);
  await sleep(1_600);
  expect(tunnels.closeIdle()).toBe(1);
  await vi.waitFor(() => expect(idle.isOpen).toBe(false));
  answer();
  expect(await sent).toBe(5);
  expect(tunnels.closeIdle()).toBe(1);
  await vi.waitFor(() => expect(tunnels.closeIdle()).toBe(0), { timeout: 3_000 });
});
