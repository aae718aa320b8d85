import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { expect, onTestFinished, test } from 'vitest';
import { BOOT_ID } from './fakeUpstream.js';
import { callService, startHarness } from './entryHarness.js';

const HEAD_END = '\r\n\r\n';

const RUN_MS = 30;

const buildResponse = (status: number, headers: readonly string[], body: string): string =>
  [`HTTP/1.1 ${status} Status`, ...headers, `content-length: ${body.length}`, '', body].join(
    '\r\n',
  );

const REFUSAL = buildResponse(503, ['x-not-run: true'], '');

/**
 * Starts a plain service that refuses its first call, and writes that refusal once more on the same
 * connection when it runs the next one.
 */
const startRepeatingService = async () => {
  const state = { runs: 0 };
  const sockets = new Set<Socket>();
  const refusedOn = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      const head = chunk.toString('latin1');
      if (!head.includes(HEAD_END)) return;
      if (head.startsWith('GET /load')) {
        socket.write(buildResponse(200, [], JSON.stringify({ bootId: BOOT_ID })));
        return;
      }
      const isFirst = refusedOn.size === 0;
      if (isFirst || refusedOn.has(socket)) socket.write(REFUSAL);
      refusedOn.add(socket);
      if (isFirst) return;
      state.runs += 1;
      setTimeout(() => socket.write(buildResponse(200, [], '{}')), RUN_MS);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  onTestFinished(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, state };
};

// Guards against a refusal that was written once more on a kept connection: the request runs, and would run twice.
test('a repeated refusal is no proof that the next request has not run', async () => {
  const { address, state } = await startRepeatingService();
  const harness = await startHarness({ upstreams: [address] });
  onTestFinished(() => harness.close());
  await callService(harness, 'POST');
  const response = await callService(harness, 'POST');
  expect(response.status).toBe(200);
  expect(state.runs).toBeLessThanOrEqual(2);
});
