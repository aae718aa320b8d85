import { once } from 'node:events';
import type { Socket } from 'node:net';
import { expect, test, vi } from 'vitest';
import { sleep } from '@goldcrestscale/core';
import { ByteBudget } from '@goldcrestscale/runtime';
import { encodeFeedContent } from '../mesh/feedMessage.js';
import { FeedReader } from '../mesh/feedReader.js';
import { FeedWriter } from '../mesh/feedWriter.js';
import { NONCE, startMeshServer } from './meshServer.js';

const MEMORY_BYTES = 1_000_000;

const startServer = () => startMeshServer(MEMORY_BYTES);

const isClosed = async (socket: Socket, timeoutMs: number): Promise<boolean> => {
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  if (!socket.destroyed) await Promise.race([closed, sleep(timeoutMs)]);
  return socket.destroyed;
};

const countOpen = (sockets: readonly Socket[]): number =>
  sockets.filter(({ destroyed }) => !destroyed).length;

// Guards against 16 MB of memory for each unauthenticated client that declares a message of that size.
test('an unauthenticated client that declares a large message is refused at once', async () => {
  const { open } = await startServer();
  const socket = open(Buffer.from([0x00, 0xff, 0xff, 0xff]));
  expect(await isClosed(socket, 500)).toBe(true);
});

// Guards against connections that say nothing and are kept for ever.
test('an unauthenticated client that says nothing is closed', async () => {
  const { open } = await startServer();
  const sockets = [open(), open(Buffer.from([0, 0, 0, 40, 1]))];
  const closed = await Promise.all(sockets.map((socket) => isClosed(socket, 3_000)));
  expect(closed).toEqual([true, true]);
});

// Guards against descriptors that run out by connections to the mesh.
test('600 unauthenticated clients keep fewer connections, and a follower gets in', async () => {
  const { server, open, follow } = await startServer();
  const sockets = Array.from({ length: 600 }, () => open());
  await Promise.all(sockets.map((socket) => once(socket, 'connect')));
  follow('vm-1');
  await vi.waitFor(() => expect(server.countFollowers()).toBe(1));
  await vi.waitFor(() => expect(countOpen(sockets)).toBeLessThanOrEqual(256), { timeout: 900 });
});

// Guards against a follower that stops within a message and is kept for ever.
test('a follower that stops within a message is closed', async () => {
  const { server, follow } = await startServer();
  const { socket, encode } = follow('vm-1');
  await vi.waitFor(() => expect(server.countFollowers()).toBe(1));
  socket.write(encode({ kind: 'ask', question: 1 }).subarray(0, 20));
  expect(await isClosed(socket, 7_000)).toBe(true);
});

// Guards against one VM that holds any number of connections, each with a part of a message.
test('a VM has one connection, and a second one takes its place', async () => {
  const { server, follow } = await startServer();
  const { socket } = follow('vm-1');
  await vi.waitFor(() => expect(server.countFollowers()).toBe(1));
  follow('vm-1');
  expect(await isClosed(socket, 500)).toBe(true);
  expect(server.countFollowers()).toBe(1);
});

// Guards against messages in part that each have a limit, and together none.
test('messages in part of all followers share one memory', async () => {
  const { server, follow, metrics } = await startServer();
  const followers = Array.from({ length: 30 }, (_value, index) => follow(`vm-${index}`));
  await vi.waitFor(() => expect(server.countFollowers()).toBe(30));
  const record = { key: 'key', value: Buffer.alloc(900_000) };
  followers.forEach(({ socket, encode }) =>
    socket.write(encode({ kind: 'streams', record }).subarray(0, 600_000)),
  );
  await vi.waitFor(() => expect(server.countFollowers()).toBeLessThan(2));
  await vi.waitFor(async () =>
    expect(await metrics.render()).toMatch(
      /mesh_closings_total\{reason="invalid data"\} (29|30)\n/,
    ),
  );
});

// Guards against copies of the whole part for each chunk, which keep the process from anything else.
test('a message in small parts takes a time in proportion to its size', () => {
  const value = Buffer.alloc(900_000, 1);
  const writer = new FeedWriter({ key: 'key', nonce: NONCE });
  const first = writer.encode(encodeFeedContent({ kind: 'ask', question: 1 }));
  const frame = writer.encode(
    encodeFeedContent({ kind: 'streams', record: { key: 'key', value } }),
  );
  const budget = new ByteBudget(MEMORY_BYTES);
  const reader = new FeedReader(() => ({ key: 'key', nonce: NONCE }), {
    maxMessageBytes: MEMORY_BYTES,
    budget,
  });
  reader.push(first);
  const startedAtMs = performance.now();
  for (let offset = 0; offset < frame.length; offset += 8) {
    reader.push(frame.subarray(offset, offset + 8));
  }
  expect(performance.now() - startedAtMs).toBeLessThan(2_000);
  expect(budget.heldBytes).toBe(0);
});
