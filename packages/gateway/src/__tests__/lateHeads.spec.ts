import { expect, test, vi } from 'vitest';
import { buildResponse } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';
import { connectRawCaller } from './rawCaller.js';

const HEADER_TIMEOUT_MS = 200;

/** The timeout with its margin, the interval of the check, and time for a busy machine. */
const END_TIMEOUT_MS = 5_000;

// Guards against heads that hold connection and memory long after the time that a deployment gives them.
test('a head that is not complete in time ends its connection', async () => {
  const { port, applyLimits } = await startGateway({
    upstreams: [({ id, socket }) => socket.write(buildResponse(200, { 'x-id': id }, ''))],
  });
  applyLimits({ bodyBytes: 1_000, headerTimeoutMs: HEADER_TIMEOUT_MS, idleTimeoutMs: 15_000 });
  const { socket } = connectRawCaller(port);
  socket.write('GET /a/1 HTTP/1.1\r\nhost: site.example\r\n');
  await vi.waitUntil(() => socket.closed, { timeout: END_TIMEOUT_MS });
  expect(socket.destroyed).toBe(true);
});
