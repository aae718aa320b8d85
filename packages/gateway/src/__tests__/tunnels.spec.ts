import { expect, test, vi } from 'vitest';
import { UpstreamReach, sleep } from '@goldcrestscale/core';
import { ConnectionPool } from '../dispatch/connectionPool.js';
import { DirectLink } from '../dispatch/directLink.js';
import { TunnelLink } from '../dispatch/tunnelLink.js';
import { findPort } from './feedFixtures.js';
import {
  UPSTREAM,
  answerAll,
  createAsker,
  formatResponse,
  send,
  startPeer,
  startUpstream,
} from './tunnelFixtures.js';

const LARGE_BODY = 'x'.repeat(2_000_000);

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
test('a VM that leaves has the connections closed that carry nothing, and no others', async () => {
  let answer = (): void => undefined;
  const address = await startUpstream((socket) => {
    socket.once('data', () => {
      answer = () => socket.write(formatResponse('whole'));
    });
  });
  const { port, tunnels } = await startPeer(address);
  const { acquire, pool } = createAsker([port]);
  const [idle, busy] = [acquire(), acquire()];
  await Promise.all([idle.waitForOpen(), busy.waitForOpen()]);
  const sent = send(busy);
  await sleep(100);
  tunnels.leave();
  await vi.waitFor(() => expect(tunnels.countOpen()).toBe(1));
  expect([idle.isOpen, busy.isOpen]).toEqual([false, true]);
  await sleep(1_600);
  answer();
  expect(await sent).toBe(5);
  expect(tunnels.countOpen()).toBe(1);
  pool.release('127.0.0.1:1', busy);
  await vi.waitFor(() => expect(tunnels.countOpen()).toBe(0));
});

test('a connection that a VM opens while it begins to leave is closed by the one that asked', async () => {
  const { port, tunnels } = await startPeer(await startUpstream(answerAll('whole')));
  const { acquire } = createAsker([port]);
  const connection = acquire();
  const opened = connection.waitForOpen();
  await vi.waitFor(() => expect(tunnels.countOpen()).toBe(1));
  tunnels.leave();
  await opened.catch(() => undefined);
  await vi.waitFor(() => expect(tunnels.countOpen()).toBe(0));
  expect(connection.isOpen).toBe(false);
});
