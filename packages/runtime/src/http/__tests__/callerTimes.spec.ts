import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, onTestFinished, test, vi } from 'vitest';
import { EventLoopBarrier } from '../../eventLoop/index.js';
import { CallerTimes } from '../callerTimes.js';
import type { CallerTimeLimits } from '../callerTimes.js';

const HEAD_MS = 300;

/** Time after which a late head has been seen: the limit and the interval of the check. */
const LATE_MS = 1_200;

const REQUEST = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';

const answer: RequestListener = (request, response) => {
  request.resume();
  response.end('fine');
};

const listen = async (server: Server): Promise<Server> => {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  onTestFinished(() => {
    server.closeAllConnections();
    server.close();
  });
  return server;
};

const startServer = async (
  limits: Partial<CallerTimeLimits> = {},
  listener: RequestListener = answer,
): Promise<Server> => {
  const server = createServer(listener);
  new CallerTimes(new EventLoopBarrier(), { headMs: HEAD_MS, ...limits }).watch(server);
  return listen(server);
};

const openCaller = async (server: Server) => {
  const accepted = new Promise<Socket>((resolve) => {
    server.once('connection', resolve);
  });
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString('latin1');
  });
  socket.on('error', (error) => {
    received += String(error);
  });
  onTestFinished(() => {
    socket.destroy();
  });
  await accepted;
  return { socket, read: () => received };
};

const block = (durationMs: number): void => {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
};

// Guards against a head that came in a pause and is answered with 408 and a reset, because timers run first.
test.each(['', 'GET / HTTP/1.1\r\nho'])(
  'a head that is complete after a pause is answered, of which %j came before',
  async (before) => {
    const { socket, read } = await openCaller(await startServer());
    socket.write(before);
    await sleep(HEAD_MS / 3);
    // The rest reaches the kernel before the pause; timers are the first that runs after it.
    await new Promise(setImmediate);
    socket.write(REQUEST.slice(before.length));
    block(LATE_MS);
    await vi.waitUntil(() => read() !== '');
    expect(read()).toMatch(/^HTTP\/1\.1 200 [^]*fine$/);
  },
);

test.each(['', 'GET / HTTP/1.1\r\nho'])(
  'a head that never ends gets 408 and a close, after %j',
  async (head) => {
    const { socket, read } = await openCaller(await startServer());
    socket.write(head);
    await vi.waitUntil(() => socket.closed, { timeout: 3_000 });
    expect(read()).toMatch(/^HTTP\/1\.1 408 /);
  },
);

test('a head that comes byte by byte ends, also on a kept connection', async () => {
  const { socket, read } = await openCaller(await startServer());
  socket.write(REQUEST);
  await vi.waitUntil(() => read().endsWith('fine'));
  socket.write('GET / HTTP/1.1\r\nx: ');
  const timer = setInterval(() => socket.write('x'), 50);
  onTestFinished(() => clearInterval(timer));
  await vi.waitUntil(() => socket.closed, { timeout: 4_000 });
  expect(read()).toContain('HTTP/1.1 408 ');
});

test('a kept connection may be idle for longer than a head takes', async () => {
  const { socket, read } = await openCaller(await startServer());
  socket.write(REQUEST);
  await vi.waitUntil(() => read().endsWith('fine'));
  await sleep(LATE_MS);
  socket.write(REQUEST);
  await vi.waitUntil(() => read().split('fine').length === 3);
});

// Guards against a caller that is reset while it still sends the rest of a body that was refused.
test('the rest of a body is no late head', async () => {
  const { socket, read } = await openCaller(await startServer());
  socket.write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 6\r\n\r\nab');
  await vi.waitUntil(() => read().endsWith('fine'));
  for (const part of ['c', 'd', 'e']) {
    await sleep(LATE_MS / 3);
    socket.write(part);
  }
  await sleep(LATE_MS);
  socket.write('f');
  await sleep(100);
  socket.write(REQUEST);
  await vi.waitUntil(() => read().split('fine').length === 3);
});

test('a head that came in part behind a refused body ends', async () => {
  const server = await startServer();
  server.keepAliveTimeout = HEAD_MS;
  const { socket, read } = await openCaller(server);
  socket.write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\na');
  await vi.waitUntil(() => read().endsWith('fine'));
  socket.write('bGET / HT');
  await vi.waitUntil(() => socket.closed, { timeout: 4_000 });
});

test('a body that never ends is cut off, if there is a limit', async () => {
  const { socket, read } = await openCaller(await startServer({ bodyMs: HEAD_MS }));
  socket.write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99\r\n\r\n');
  const timer = setInterval(() => socket.write('x'), 50);
  onTestFinished(() => clearInterval(timer));
  await vi.waitUntil(() => socket.closed, { timeout: 4_000 });
  expect(read()).toMatch(/^HTTP\/1\.1 200 /);
});

// Guards against connections that are kept for ever by a byte now and then, behind a response.
test('a body that goes on after its response is cut off after the idle timeout', async () => {
  const server = await startServer();
  server.keepAliveTimeout = 500;
  const { socket, read } = await openCaller(server);
  socket.write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\nx');
  const timer = setInterval(() => socket.write('x'), 100);
  await vi.waitUntil(() => socket.closed, { timeout: 5_000 });
  clearInterval(timer);
  expect(read()).toContain('fine');
});

test('a long response is no late request', async () => {
  const server = await startServer({ bodyMs: HEAD_MS }, (_request, response) => {
    setTimeout(() => response.end('fine'), HEAD_MS + LATE_MS);
  });
  const { socket, read } = await openCaller(server);
  socket.write(REQUEST);
  await vi.waitUntil(() => read() !== '', { timeout: 4_000 });
  expect(read()).toMatch(/^HTTP\/1\.1 200 /);
});

const UPGRADE_REQUEST =
  'GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade, close\r\nupgrade: h2c\r\n\r\n';

// Guards against callers that offer an upgrade and get no answer, because somebody listens for upgrades.
test('a request that offers an upgrade is answered', async () => {
  const { socket, read } = await openCaller(await startServer());
  socket.write(UPGRADE_REQUEST);
  await vi.waitUntil(() => read() !== '', { timeout: 3_000 });
  expect(read()).toMatch(/^HTTP\/1\.1 200 /);
});

test('an upgraded connection has no limit', async () => {
  const server = createServer(answer);
  const times = new CallerTimes(new EventLoopBarrier(), { headMs: HEAD_MS });
  times.watch(server);
  server.on('upgrade', (_request, socket: Socket) => {
    times.release(socket);
    socket.write('upgraded');
  });
  const { socket, read } = await openCaller(await listen(server));
  socket.write(UPGRADE_REQUEST);
  await sleep(HEAD_MS + LATE_MS);
  expect([read(), socket.closed]).toEqual(['upgraded', false]);
});
