import { setTimeout as pause } from 'node:timers/promises';
import { expect, test, vi } from 'vitest';
import { buildResponse } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';
import { buildRequestHead, connectRawCaller } from './rawCaller.js';
import type { RawCaller } from './rawCaller.js';

const ONE_BYTE_CHUNKS = '1\r\nx\r\n'.repeat(10_000);

/** Sends chunks of one byte until the connection is closed. */
const sendWithoutEnd = ({ socket }: RawCaller): void => {
  const send = (): void => {
    if (socket.destroyed) return;
    if (socket.write(ONE_BYTE_CHUNKS)) setImmediate(send);
    else socket.once('drain', send);
  };
  send();
};

// Guards against callers whose chunks of one byte take the processor from all others, without an answer to them.
test.each([
  ['400', 100_000],
  ['413', 1_000],
])('a body in too many small chunks gets %s and is not read on', async (status, bodyBytes) => {
  const { port, budget, upstreams } = await startGateway({
    bodyBytes,
    upstreams: [
      ({ id, socket }) => socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, '')),
    ],
  });
  const caller = connectRawCaller(port);
  caller.socket.write(buildRequestHead('small', 'transfer-encoding: chunked'));
  sendWithoutEnd(caller);
  await caller.waitFor(` ${status} `);
  await pause(300);
  const { bytesWritten } = caller.socket;
  await pause(200);
  expect(caller.socket.bytesWritten).toBe(bytesWritten);
  expect(budget.heldBytes).toBe(0);
  expect(upstreams[0]!.received).toHaveLength(0);
});

test('a body in 3,000 chunks of one byte arrives whole', async () => {
  const { port, budget, upstreams } = await startGateway({
    bodyBytes: 100_000,
    upstreams: [
      ({ id, socket }) => socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, 'fine')),
    ],
  });
  const caller = connectRawCaller(port);
  caller.socket.write(buildRequestHead('sound', 'transfer-encoding: chunked'));
  caller.socket.write(`${'1\r\nx\r\n'.repeat(3_000)}0\r\n\r\n`);
  await caller.waitFor('fine');
  expect(upstreams[0]!.received[0]!.head).toContain('content-length: 3000');
  await vi.waitUntil(() => budget.heldBytes === 0);
});
