import { setTimeout as pause } from 'node:timers/promises';
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

/** Longer than the timeout with its margin and the interval of the check. */
const PAUSE_MS = 2_000;

// Guards against callers who are told that their heads are late, although the VM stood still.
test('a head that came during a pause is answered', async () => {
  const { port, applyLimits } = await startGateway({
    upstreams: [
      ({ id, socket }) => socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, 'fine')),
    ],
  });
  applyLimits({ bodyBytes: 1_000, headerTimeoutMs: HEADER_TIMEOUT_MS, idleTimeoutMs: 15_000 });
  const { socket, read, waitFor } = connectRawCaller(port);
  socket.write('GET /a/1 HTTP/1.1\r\nhost: site.example\r\n');
  await pause(HEADER_TIMEOUT_MS);
  // Timers are the first that runs after the phase of immediates.
  await new Promise(setImmediate);
  socket.write('x-id: late\r\n\r\n');
  const endMs = performance.now() + PAUSE_MS;
  while (performance.now() < endMs);
  await waitFor('\r\n\r\n');
  expect(read()).toMatch(/^HTTP\/1\.1 200 /);
});
