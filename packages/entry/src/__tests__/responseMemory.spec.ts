import type { Socket } from 'node:net';
import { expect, onTestFinished, test, vi } from 'vitest';
import { callService, requestCompletion, startHarness } from './entryHarness.js';
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
  expect(responses.map(({ status }) => status)).toEqual(Array.from({ length: CALLERS }, () => 502));
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

const EVENT_PART = `fffff\r\ndata: ${'x'.repeat(1_048_569)}\r\n`;

const buildStreamHead = (id: string): string =>
  buildHead(id).replace('\r\n\r\n', '\r\ncontent-type: text/event-stream\r\n\r\n');

// Guards against a process that ends by events that are not complete, one for each of many callers.
test('events in part are bounded together', async () => {
  const address = await startRawService(({ id, socket }) => {
    socket.write(buildStreamHead(id));
    socket.write(EVENT_PART);
  });
  const harness = await startHarness({ upstreams: [address], bufferBytes: 4 * MEGABYTE });
  onTestFinished(() => harness.close());
  const responses = Array.from({ length: CALLERS }, () =>
    requestCompletion(harness, { headers: { 'x-deadline-ms': '4000' } }),
  );
  const startedAtMs = performance.now();
  await Promise.race(responses);
  expect(performance.now() - startedAtMs).toBeLessThan(2_000);
  expect(harness.budget.heldBytes).toBeLessThanOrEqual(4 * MEGABYTE);
  const statuses = (await Promise.all(responses)).map(({ status }) => status);
  expect(statuses.every((status) => status >= 500)).toBe(true);
  expect(harness.budget.heldBytes).toBe(0);
});

// Guards against a stream without end whose events are all kept for the case that it breaks off.
test('a stream whose events have no memory goes on, and can not be resumed', async () => {
  const event = `data: ${JSON.stringify({ choices: [{ text: 'x'.repeat(1_000) }] })}\n\n`;
  const sockets: Socket[] = [];
  const address = await startRawService(({ id, socket }) => {
    sockets.push(socket);
    socket.write(buildStreamHead(id));
    for (let count = 0; count < 200; count += 1)
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    const end = 'data: [DONE]\n\n';
    setTimeout(() => socket.write(`${end.length.toString(16)}\r\n${end}\r\n0\r\n\r\n`), 300);
  });
  const harness = await startHarness({ upstreams: [address], bufferBytes: 300_000 });
  onTestFinished(() => harness.close());
  const response = await requestCompletion(harness);
  expect(response).toMatchObject({ status: 200, isComplete: true });
  expect(response.text).toHaveLength(200_000);
  expect(harness.budget.heldBytes).toBe(0);
});

// Guards against a stream that is begun anew, behind what its caller has already, since its events were dropped.
test('a stream whose events were dropped is not resumed when it breaks off', async () => {
  const event = `data: ${JSON.stringify({ choices: [{ text: 'x'.repeat(1_000) }] })}\n\n`;
  let calls = 0;
  const address = await startRawService(({ id, socket }) => {
    calls += 1;
    socket.write(buildStreamHead(id));
    for (let count = 0; count < 200; count += 1)
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    setTimeout(() => socket.destroy(), 300);
  });
  const harness = await startHarness({ upstreams: [address, address], bufferBytes: 300_000 });
  onTestFinished(() => harness.close());
  const response = await requestCompletion(harness);
  expect(response).toMatchObject({ isComplete: false, errorCode: 'stream_broken' });
  expect(response.text).toHaveLength(200_000);
  expect(calls).toBe(1);
});

/** Counts the calls of two upstreams under one request, which has no memory for its answer. */
const startCountedHarness = async (respond: (socket: Socket, id: string) => void) => {
  const calls: string[] = [];
  const addresses = await Promise.all(
    [0, 1].map(() =>
      startRawService(({ id, socket }) => {
        calls.push(id);
        respond(socket, id);
      }),
    ),
  );
  const harness = await startHarness({ upstreams: addresses, bufferBytes: MEGABYTE });
  onTestFinished(() => harness.close());
  return { harness, calls };
};

// Guards against a request that runs at one upstream after the other, beside memory that stays full.
test('an answer for which there is no memory is not asked for elsewhere', async () => {
  const { harness, calls } = await startCountedHarness((socket, id) => {
    socket.write(buildHead(id));
    repeatText(socket, `10000\r\n${'x'.repeat(65_536)}\r\n`);
  });
  expect(await callService(harness, 'GET')).toMatchObject({
    status: 502,
    verdict: 'may-have-run',
    errorCode: 'upstream_failed',
    retryAfter: null,
  });
  expect(calls).toHaveLength(1);
  expect(harness.outcomes).not.toContain('failure');
});

// Guards against a stream that takes the memory it was given up for once more, from others.
test('a stream whose event has no memory is not begun elsewhere', async () => {
  const { harness, calls } = await startCountedHarness((socket, id) => {
    socket.write(buildStreamHead(id));
    socket.write(EVENT_PART);
  });
  expect(await requestCompletion(harness)).toMatchObject({
    status: 502,
    verdict: 'may-have-run',
    errorCode: 'stream_broken',
  });
  expect(calls.filter((id, index) => calls.indexOf(id) === index)).toHaveLength(1);
  expect(harness.outcomes).not.toContain('failure');
});
