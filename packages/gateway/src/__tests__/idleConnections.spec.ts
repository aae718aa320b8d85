import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { expect, onTestFinished, test } from 'vitest';
import { buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

const IDLE_TIMEOUT_MS = 100;

const BUSY_MS = 300;

const respond = ({ id, socket }: TestRequest): void => {
  socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, 'fine'));
};

/** Writes a request, which reaches the kernel before this returns; gives what comes next. */
const exchange = (socket: Socket, id: string): Promise<string> =>
  new Promise((resolve) => {
    socket.once('data', (chunk) => resolve(chunk.toString('latin1').split('\r\n')[0]!));
    socket.once('error', (error) => resolve(String(error)));
    socket.once('close', () => resolve('closed'));
    socket.write(`GET /a/1 HTTP/1.1\r\nhost: site.example\r\nx-id: ${id}\r\n\r\n`);
  });

const blockEventLoop = (): void => {
  const endMs = performance.now() + BUSY_MS;
  while (performance.now() < endMs);
};

const startPort = async (): Promise<number> => {
  const { port, applyLimits } = await startGateway({ upstreams: [respond] });
  applyLimits({ bodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: IDLE_TIMEOUT_MS });
  return port;
};

const openIdleConnection = async (port: number): Promise<Socket> => {
  const socket = connect(port, '127.0.0.1');
  onTestFinished(() => {
    socket.destroy();
  });
  expect(await exchange(socket, 'first')).toBe('HTTP/1.1 200 OK');
  return socket;
};

/** Measures the time until an idle connection is closed; versions of the runtime add margins of their own. */
const measureIdleTime = async (port: number): Promise<number> => {
  const socket = await openIdleConnection(port);
  const startedAtMs = performance.now();
  await new Promise<void>((resolve) => {
    socket.once('close', () => resolve());
  });
  return performance.now() - startedAtMs;
};

// Guards against an idle timeout that ends during a pause and closes a connection whose request is still unread.
test('a request that comes during a pause in which its connection times out is answered', async () => {
  const port = await startPort();
  const closeAfterMs = await measureIdleTime(port);
  const socket = await openIdleConnection(port);
  await pause(closeAfterMs - BUSY_MS / 2);
  // Timers are the first that runs after the phase of immediates.
  await new Promise(setImmediate);
  const answer = exchange(socket, 'second');
  blockEventLoop();
  expect(await answer).toBe('HTTP/1.1 200 OK');
});

test('an idle connection is closed after its timeout', async () => {
  expect(await measureIdleTime(await startPort())).toBeGreaterThan(IDLE_TIMEOUT_MS);
});
