import { expect, onTestFinished, test } from 'vitest';
import { SocketBudget } from '@goldcrestscale/runtime';
import { ConnectionPool } from '../dispatch/connectionPool.js';
import { FakeUpstream, buildResponse } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

const startUpstream = async (): Promise<string> => {
  const upstream = new FakeUpstream(() => undefined);
  onTestFinished(() => upstream.close());
  return upstream.listen();
};

const MAX_OPEN = 3;

// Guards against upstreams that get nothing more, because closed connections still count as open.
test.each([
  ['opening', false],
  ['open', true],
])('closed connections make room for others: %s', async (_state, isOpened) => {
  const address = await startUpstream();
  const pool = new ConnectionPool(() => undefined);
  for (let count = 0; count < MAX_OPEN * 3; count += 1) {
    const connection = pool.acquire(address, MAX_OPEN);
    expect(connection).toBeDefined();
    if (isOpened) await connection!.waitForOpen();
    else connection!.waitForOpen().catch(() => undefined);
    connection!.close();
  }
});

test('a connection counts as open until it is closed', async () => {
  const address = await startUpstream();
  const pool = new ConnectionPool(() => undefined);
  onTestFinished(() => pool.close());
  const connections = Array.from({ length: MAX_OPEN }, () => pool.acquire(address, MAX_OPEN)!);
  expect(pool.acquire(address, MAX_OPEN)).toBeUndefined();
  connections.slice(1).forEach((connection) => connection.close());
  pool.release(address, connections[0]!);
  const again = Array.from({ length: MAX_OPEN }, () => pool.acquire(address, MAX_OPEN));
  expect(again[0]).toBe(connections[0]);
  expect(again.every((connection) => connection !== undefined)).toBe(true);
  expect(pool.acquire(address, MAX_OPEN)).toBeUndefined();
  again.forEach((connection) => connection!.close());
});

// Guards against a VM that refuses requests after callers have left it while theirs ran.
test('a caller is served after more callers have left than connections are allowed', async () => {
  const { call, upstreams } = await startGateway({
    route: { timeoutMs: 5_000 },
    upstreams: [
      ({ id, socket }) => {
        if (id === 'stays') {
          socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, 'fine'));
        }
      },
    ],
  });
  for (let count = 0; count < 60; count += 10) {
    const controller = new AbortController();
    const calls = Array.from({ length: 10 }, () =>
      call({ signal: controller.signal }).catch(() => undefined),
    );
    await expect.poll(() => upstreams[0]!.received.length).toBe(count + 10);
    controller.abort();
    await Promise.all(calls);
  }
  const reply = await call({ headers: { 'x-id': 'stays' } });
  expect(reply.status).toBe(200);
});

// Guards against requests that are lost because connections to other upstreams hold all descriptors.
test('a connection beyond the sockets takes that of an idle one, or none is opened', () => {
  const missing: string[] = [];
  const share = new SocketBudget(10).createShare({ reserved: 0, max: 1 });
  const pool = new ConnectionPool(() => undefined, {
    share,
    onMissing: (address) => missing.push(address),
  });
  const first = pool.acquire('127.0.0.1:1', MAX_OPEN)!;
  expect(pool.acquire('127.0.0.1:2', MAX_OPEN)).toBeUndefined();
  expect(missing).toEqual(['127.0.0.1:2']);
  pool.release('127.0.0.1:1', first);
  const second = pool.acquire('127.0.0.1:2', MAX_OPEN);
  expect(second).toBeDefined();
  expect(first.isOpen).toBe(false);
  second!.close();
  expect(share.openCount).toBe(0);
});
