import type { Socket } from 'node:net';
import { expect, onTestFinished, test } from 'vitest';
import { callService, startHarness } from './entryHarness.js';
import { buildRawResponse, startRawService } from './rawService.js';

/** A refused response must end the request well before its deadline. */
const MAX_ELAPSED_MS = 5_000;

// Guards against a status that HTTP does not have: it is an answer to nobody and must not end the VM.
test.each(['000', '042', '099', '100', '101', '199', '600', '999'])(
  'a response with the status %s ends its request with a typed error',
  async (status) => {
    const address = await startRawService(({ id, socket }) => {
      const headers = [`x-attempt-id: ${id}`];
      socket.write(buildRawResponse(`HTTP/1.1 ${status} Unknown`, headers, '{}'));
    });
    const harness = await startHarness({ upstreams: [address] });
    onTestFinished(() => harness.close());
    const startedAtMs = performance.now();
    const response = await callService(harness, 'POST');
    expect(response.errorCode).toBeDefined();
    expect(response.status).toBeGreaterThanOrEqual(500);
    expect(response.status).toBeLessThan(600);
    expect(performance.now() - startedAtMs).toBeLessThan(MAX_ELAPSED_MS);
  },
  8_000,
);

const WHOLE = buildRawResponse('HTTP/1.1 200 OK', ['x-attempt-id: ID'], '{"fine":true}');

const CUTS = Array.from({ length: Math.ceil(WHOLE.indexOf('{') / 6) }, (_, index) => 1 + index * 6);

// Guards against a success for an answer whose head was never complete.
test.each(CUTS.flatMap((cutAt) => [[cutAt, 'end'] as const, [cutAt, 'reset'] as const]))(
  'a head that is cut after %i bytes by %s ends its request with a typed error',
  async (cutAt, ending) => {
    const address = await startRawService(({ id, socket }) => {
      socket.write(WHOLE.replace('ID', id).slice(0, cutAt));
      setImmediate(() => (ending === 'end' ? socket.end() : socket.resetAndDestroy()));
    });
    const harness = await startHarness({ upstreams: [address] });
    onTestFinished(() => harness.close());
    const response = await callService(harness, 'POST');
    expect(response.errorCode).toBeDefined();
    expect(response.status).toBeGreaterThanOrEqual(500);
  },
  8_000,
);

/** More than the buffers of a connection take. */
const UPLOAD = 'x'.repeat(12_000_000);

const ENDINGS = {
  'reset at once': (socket: Socket) => socket.resetAndDestroy(),
  'reset later': (socket: Socket) => setTimeout(() => socket.resetAndDestroy(), 30),
  'closed unread': (socket: Socket) => socket.pause().end(),
  'closed and read on': (socket: Socket) => socket.end(),
} as const;

// Guards against a part of an answer that counts as a whole one, because it ends with its connection.
test.each(Object.keys(ENDINGS) as (keyof typeof ENDINGS)[])(
  'a response without a length that is %s during the upload ends its request with a typed error',
  async (ending) => {
    const address = await startRawService(({ id, socket }) => {
      socket.write(`HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\n\r\npart`);
      ENDINGS[ending](socket);
    });
    const harness = await startHarness({ upstreams: [address] });
    onTestFinished(() => harness.close());
    const response = await callService(harness, 'POST', UPLOAD);
    expect(response.errorCode).toBeDefined();
    expect(response.status).toBeGreaterThanOrEqual(500);
  },
  15_000,
);
