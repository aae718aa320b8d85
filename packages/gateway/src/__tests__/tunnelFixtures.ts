import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { onTestFinished } from 'vitest';
import {
  EntryRoster,
  PeerLoads,
  UpstreamRegistry,
  createRandomGenerator,
  toId,
} from '@goldcrestscale/core';
import type { UpstreamId, VmId } from '@goldcrestscale/core';
import { createLogger, createMetricsRegistry } from '@goldcrestscale/runtime';
import { ConnectionPool } from '../dispatch/connectionPool.js';
import type { ConnectionRequest, UpstreamConnection } from '../dispatch/upstreamConnection.js';
import { DirectLink } from '../dispatch/directLink.js';
import { TunnelLink } from '../dispatch/tunnelLink.js';
import { FeedServer } from '../mesh/feedServer.js';
import { PeerPaths } from '../mesh/peerPaths.js';
import { TunnelServer } from '../mesh/tunnelServer.js';
import type { TunnelPeer, TunnelSocket } from '../mesh/tunnelSocket.js';
import { createGatewayMetrics } from '../metrics.js';
import { createSocketShares } from '../socketShares.js';
import { findPort, keepHeartbeats, makeEntry } from './feedFixtures.js';
import { createTestFaults } from './testFaults.js';
import { buildTestUpstream } from './testUpstream.js';

/** The upstream that the other VMs know. */
export const UPSTREAM = toId<UpstreamId>('up-1');

/** Starts an upstream that handles connections by itself. @returns its HOST:PORT */
export const startUpstream = async (handle: (socket: Socket) => void): Promise<string> => {
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
export const startPeer = async (address: string, state: PeerState = {}) => {
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
  const sockets: Socket[] = [];
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
    onTunnel(socket, upstreamId) {
      sockets.push(socket);
      tunnels.accept(socket, upstreamId);
    },
    isAlive: () => true,
  });
  await server.start(controller.signal);
  onTestFinished(() => {
    controller.abort();
    tunnels.close();
  });
  return { port, metrics, tunnels, sockets };
};

/** Creates the connections of `vm-1`, which is cut off and may ask the VMs at some ports. */
export const createAsker = (
  ports: readonly number[],
  createSocket?: (connection: Socket, peer: TunnelPeer) => TunnelSocket,
) => {
  const roster = new EntryRoster();
  const peers = ports.map((port, index) => makeEntry(`vm-${index + 2}`, port, 1));
  keepHeartbeats(roster, [makeEntry('vm-1', 1, 1), ...peers]);
  let opened = 0;
  const paths = new PeerPaths(
    {
      self: toId<VmId>('vm-1'),
      key: 'key of vm-1',
      roster,
      random: createRandomGenerator(1),
      onTunnelOpen() {
        opened += 1;
      },
    },
    createSocket,
  );
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
export const send = (connection: UpstreamConnection, body = '') =>
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

export const formatResponse = (body: string): string =>
  `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

export const answerAll = (body: string) => (socket: Socket) => {
  socket.on('data', () => socket.write(formatResponse(body)));
};
