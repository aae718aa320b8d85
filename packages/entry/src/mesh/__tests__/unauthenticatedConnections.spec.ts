import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { expect, onTestFinished, test } from 'vitest';
import { WebSocket } from 'ws';
import { sleep, toId } from '@goldcrestscale/core';
import type { BootId, VmId } from '@goldcrestscale/core';
import { createMesh } from '../index.js';

const startMesh = async (): Promise<number> => {
  const stop = new AbortController();
  onTestFinished(() => stop.abort());
  const mesh = await createMesh({
    vmId: toId<VmId>('a'),
    bootId: toId<BootId>('boot'),
    listen: { host: '127.0.0.1', port: 0 },
    secret: Buffer.alloc(32, 7),
    signal: stop.signal,
  });
  return mesh.port;
};

const openSocket = (port: number): Socket => {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  // The end of a connection is only seen when it is read.
  socket.resume();
  onTestFinished(() => {
    socket.destroy();
  });
  return socket;
};

const waitForClose = (socket: Socket, timeoutMs: number): Promise<boolean> =>
  Promise.race([
    new Promise<boolean>((resolve) => {
      socket.once('close', () => resolve(true));
    }),
    sleep(timeoutMs).then(() => false),
  ]);

// Guards against unauthenticated connections that are kept for a minute and more.
test('a connection that asks for no upgrade is closed', async () => {
  const port = await startMesh();
  const [silent, slow] = [openSocket(port), openSocket(port)];
  slow.write('GET / HT');
  const closed = await Promise.all([silent, slow].map((socket) => waitForClose(socket, 5_000)));
  expect(closed).toEqual([true, true]);
});

// Guards against peers that are refused because the VM stood still when they asked for the upgrade.
test('a request that came during a pause is answered', async () => {
  const socket = openSocket(await startMesh());
  await once(socket, 'connect');
  await sleep(100);
  // Timers are the first that runs after the phase of immediates.
  await new Promise(setImmediate);
  socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  const endMs = performance.now() + 3_000;
  while (performance.now() < endMs);
  const [answer] = (await once(socket, 'data')) as [Buffer];
  expect(answer.toString()).toMatch(/^HTTP\/1\.1 426 /);
});

// Guards against 1 MB for each unauthenticated client, collected before the handshake looks at its size.
test('an unauthenticated client that sends a large message is cut off before its end', async () => {
  const port = await startMesh();
  const webSocket = new WebSocket(`ws://127.0.0.1:${port}`);
  webSocket.on('error', () => undefined);
  const closed = once(webSocket, 'close');
  await once(webSocket, 'open');
  const startedAtMs = performance.now();
  // A part of a message without its end.
  webSocket.send(Buffer.alloc(100_000), { fin: false });
  await closed;
  expect(performance.now() - startedAtMs).toBeLessThan(1_000);
});
