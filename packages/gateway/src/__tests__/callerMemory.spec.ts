import { expect, test, vi } from 'vitest';
import { buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';
import { buildRequestHead, connectRawCaller } from './rawCaller.js';
import type { RawCaller } from './rawCaller.js';

const respond = ({ id, socket }: TestRequest): void => {
  socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, 'fine'));
};

const BODY_BYTES = 800;

/** Room for two bodies, but not for three. */
const BUFFER_BYTES = 2_000;

/** Sends a head and all of the body but its last byte. */
const sendMostOfBody = (port: number, id: string): RawCaller => {
  const caller = connectRawCaller(port);
  caller.socket.write(buildRequestHead(id, `content-length: ${BODY_BYTES}`));
  caller.socket.write('x'.repeat(BODY_BYTES - 1));
  return caller;
};

// Guards against a process that is killed because many callers sent bodies at the same time.
test('a body for which there is no memory is refused before it is complete', async () => {
  const { port, upstreams, budget } = await startGateway({
    upstreams: [respond],
    bufferBytes: BUFFER_BYTES,
  });
  const first = sendMostOfBody(port, 'first');
  const second = sendMostOfBody(port, 'second');
  await vi.waitUntil(() => budget.heldBytes === 2 * BODY_BYTES);
  const third = sendMostOfBody(port, 'third');
  await third.waitFor('memory_full');
  expect(third.read()).toContain(' 503 ');
  expect(third.read()).toContain('retry-after: 0.40');
  [first, second, third].forEach(({ socket }) => socket.write('x'));
  await Promise.all([first.waitFor('fine'), second.waitFor('fine')]);
  expect(upstreams[0]!.received.map(({ id }) => id).sort()).toEqual(['first', 'second']);
  third.socket.write(`${buildRequestHead('again', 'content-length: 1')}x`);
  await third.waitFor('fine');
});

// Guards against bodies that escape the limit because their heads declare no length.
test('a body in chunks is refused once there is no memory for it', async () => {
  const { port, budget } = await startGateway({ upstreams: [respond], bufferBytes: BODY_BYTES });
  const caller = connectRawCaller(port);
  caller.socket.write(buildRequestHead('chunks', 'transfer-encoding: chunked'));
  const chunk = `190\r\n${'x'.repeat(400)}\r\n`;
  caller.socket.write(chunk);
  await vi.waitUntil(() => budget.heldBytes === 400);
  caller.socket.write(`${chunk}1\r\nx\r\n`);
  await caller.waitFor('memory_full');
  await vi.waitUntil(() => budget.heldBytes === 0);
});

// Guards against callers that stop in their bodies and hold memory and connection for ever.
test('a body that stops is refused when the time for the request is over', async () => {
  const { port, upstreams, budget } = await startGateway({
    route: { timeoutMs: 300 },
    upstreams: [respond],
    bufferBytes: BODY_BYTES,
  });
  const startedAtMs = performance.now();
  const caller = sendMostOfBody(port, 'slow');
  await caller.waitFor(' 503 ');
  expect(performance.now() - startedAtMs).toBeGreaterThan(290);
  expect(caller.read()).toContain('"deadline"');
  await vi.waitUntil(() => budget.heldBytes === 0);
  caller.socket.write('x');
  caller.socket.write(`${buildRequestHead('next', 'content-length: 1')}x`);
  await caller.waitFor('fine');
  expect(upstreams[0]!.received.map(({ id }) => id)).toEqual(['next']);
});

// Guards against memory that is never given back, which ends in the refusal of every body.
test('the memory of a body is free again after a response, a refusal or a departure', async () => {
  const { port, call, budget } = await startGateway({
    upstreams: [respond],
    bufferBytes: BODY_BYTES,
  });
  const statuses = [];
  statuses.push((await call({ body: 'x'.repeat(BODY_BYTES) })).status);
  statuses.push((await call({ body: 'x'.repeat(BODY_BYTES + 1) })).status);
  await vi.waitUntil(() => budget.heldBytes === 0);
  const leaving = sendMostOfBody(port, 'leaving');
  await vi.waitUntil(() => budget.heldBytes === BODY_BYTES);
  leaving.socket.resetAndDestroy();
  await vi.waitUntil(() => budget.heldBytes === 0);
  statuses.push((await call({ body: 'x'.repeat(BODY_BYTES) })).status);
  expect(statuses).toEqual([200, 503, 200]);
});
