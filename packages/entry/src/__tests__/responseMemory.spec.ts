import type { Socket } from 'node:net';
import { expect, onTestFinished, test, vi } from 'vitest';
import { callService, startHarness } from './entryHarness.js';
import { startRawService } from './rawService.js';

const MEGABYTE = 1_000_000;

const CALLERS = 10;

const buildHead = (id: string): string =>
  `HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n`;

const ONE_BYTE_CHUNKS = '1\r\nx\r\n'.repeat(10_000);

/** Writes a text to a connection again and again, until it is closed. */
const repeatText = (socket: Socket, text: string): void => {
  if (socket.destroyed) return;
  if (socket.write(text)) setImmediate(() => repeatText(socket, text));
  else socket.once('drain', () => repeatText(socket, text));
};

// Guards against a process that ends by bodies of upstreams that each are within their limit.
test('bodies of upstreams are bounded together', async () => {
  const address = await startRawService(({ id, socket }) => {
    socket.write(buildHead(id));
    repeatText(socket, `10000\r\n${'x'.repeat(65_536)}\r\n`);
  });
  const harness = await startHarness({ upstreams: [address], bufferBytes: 4 * MEGABYTE });
  onTestFinished(() => harness.close());
  let peakBytes = 0;
  const timer = setInterval(() => {
    peakBytes = Math.max(peakBytes, harness.budget.heldBytes);
  }, 1);
  onTestFinished(() => clearInterval(timer));
  const responses = await Promise.all(
    Array.from({ length: CALLERS }, () => callService(harness, 'POST')),
  );
  expect(responses.map(({ status }) => status)).toEqual(Array.from({ length: CALLERS }, () => 503));
  expect(responses[0]).toMatchObject({ verdict: 'may-have-run', errorCode: 'upstream_failed' });
  expect(peakBytes).toBeGreaterThan(0);
  expect(harness.refusedBodies).toHaveLength(CALLERS);
  expect(harness.budget.heldBytes).toBe(0);
});

// Guards against pieces of one byte that each take a hundred bytes of memory.
test('a body in parts of one byte takes the memory of its bytes', async () => {
  const sockets: Socket[] = [];
  const address = await startRawService(({ id, socket }) => {
    sockets.push(socket);
    socket.write(buildHead(id));
    for (let count = 0; count < 100; count += 1) socket.write(ONE_BYTE_CHUNKS);
  });
  const harness = await startHarness({ upstreams: [address], bufferBytes: 40 * MEGABYTE });
  onTestFinished(() => harness.close());
  const response = callService(harness, 'POST');
  await vi.waitUntil(() => harness.budget.heldBytes >= MEGABYTE, { timeout: 20_000 });
  expect(harness.budget.heldBytes).toBeLessThan(3 * MEGABYTE);
  sockets.forEach((socket) => socket.end('0\r\n\r\n'));
  expect(await response).toMatchObject({ status: 200 });
  expect(harness.budget.heldBytes).toBe(0);
}, 30_000);
