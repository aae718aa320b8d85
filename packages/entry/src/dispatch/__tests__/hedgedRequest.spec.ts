import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { EventLoopBarrier } from '@goldcrestscale/runtime';
import { expect, onTestFinished, test, vi } from 'vitest';
import { runHedgedRequest } from '../hedgedRequest.js';

const DELAY_MS = 20;

const blockFor = (durationMs: number): void => {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
};

/** Opens a pair of connected sockets. */
const openPair = async (): Promise<readonly [Socket, Socket]> => {
  const listener = createServer().listen(0, '127.0.0.1');
  await once(listener, 'listening');
  const client = connect((listener.address() as AddressInfo).port, '127.0.0.1');
  const [server] = (await once(listener, 'connection')) as [Socket];
  onTestFinished(() => {
    client.destroy();
    server.destroy();
    listener.close();
  });
  return [client, server];
};

// Guards against a hedge that is created, and charged, while the answer lies unread (GONE).
test('no hedge is created while the answer to the first attempt lies unread', async () => {
  const [client, server] = await openPair();
  const createHedge = vi.fn(() => undefined);
  const run = runHedgedRequest({
    delayMs: DELAY_MS,
    inputBarrier: new EventLoopBarrier(),
    startPrimary: async () => {
      await once(server, 'data');
    },
    createHedge,
  });
  client.write('answer');
  blockFor(5 * DELAY_MS);
  await run;
  expect(createHedge).not.toHaveBeenCalled();
});

test('a hedge is created while the first attempt is not answered', async () => {
  const [client, server] = await openPair();
  const startHedge = vi.fn(() => Promise.resolve());
  await runHedgedRequest({
    delayMs: DELAY_MS,
    inputBarrier: new EventLoopBarrier(),
    startPrimary: async () => {
      await once(server, 'data');
    },
    createHedge: () => startHedge,
  });
  expect(startHedge).toHaveBeenCalledTimes(1);
  client.write('answer');
});
