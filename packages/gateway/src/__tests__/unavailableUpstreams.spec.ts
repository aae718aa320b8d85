import { setTimeout as pause } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

const respond = ({ id, socket }: TestRequest): void => {
  socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, 'fine'));
};

const countRequests = (upstreams: readonly { readonly received: readonly unknown[] }[]): number =>
  upstreams.reduce((sum, { received }) => sum + received.length, 0);

const unsafe = { idempotent: false, maxUpstreams: 1 };

const respondLeaving = ({ id, socket }: TestRequest): void => {
  socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's', 'x-leaving': '1' }, 'fine'));
};

/** Longer than the pause after a refusal without a rest. */
const SHORT_REFUSAL_PAUSE_MS = 250;

/** Refuses with a request for a rest, in milliseconds. */
const makeResting =
  (restMs: number) =>
  ({ id, socket }: TestRequest): void => {
    const headers = { 'x-id': id, 'x-not-run': '1', 'x-rest': String(restMs) };
    socket.write(buildResponse(503, headers, ''));
  };

test('sends nothing more to an upstream that announces in a response that it leaves', async () => {
  const { call, upstreams } = await startGateway({ upstreams: [respondLeaving, respond] });
  const replies = [];
  for (let count = 0; count < 12; count += 1) replies.push(await call());
  expect(replies.every(({ status }) => status === 200)).toBe(true);
  expect(upstreams[0]!.received.length).toBeLessThanOrEqual(1);
});

test('sends no requests to an upstream during the rest that it asked for', async () => {
  const restMs = 600;
  const { call, upstreams } = await startGateway({ upstreams: [makeResting(restMs), respond] });
  const startedAtMs = performance.now();
  for (let count = 0; count < 12; count += 1) {
    expect((await call()).status).toBe(200);
    await pause(30);
  }
  // On a busy machine the calls may take longer than one rest.
  const restCount = 1 + Math.floor((performance.now() - startedAtMs) / restMs);
  expect(upstreams[0]!.received.length).toBeLessThanOrEqual(restCount);
  await pause(restMs);
  await Promise.all(Array.from({ length: 12 }, () => call()));
  expect(upstreams[0]!.received.length).toBeGreaterThan(1);
});

test('rejects at once with the shortest rest if all upstreams rest', async () => {
  const { call, upstreams } = await startGateway({
    route: unsafe,
    upstreams: [makeResting(4_000), makeResting(2_500)],
  });
  const firstCallAtMs = performance.now();
  await call();
  await pause(SHORT_REFUSAL_PAUSE_MS);
  await call();
  await pause(SHORT_REFUSAL_PAUSE_MS);
  const sent = countRequests(upstreams);
  const startedAtMs = performance.now();
  const reply = await call();
  expect(performance.now() - startedAtMs).toBeLessThan(300);
  expect(reply.status).toBe(503);
  // The shorter rest began after the first call; the header is rounded.
  const leastRestS = 2.5 - (performance.now() - firstCallAtMs) / 1_000 - 0.01;
  expect(Number(reply.headers['retry-after'])).toBeGreaterThanOrEqual(leastRestS);
  expect(Number(reply.headers['retry-after'])).toBeLessThanOrEqual(2.5);
  expect(countRequests(upstreams)).toBe(sent);
});

test('does not name the rest of one upstream while another is only busy', async () => {
  const refuse = ({ id, socket }: TestRequest): void => {
    socket.write(buildResponse(503, { 'x-id': id, 'x-not-run': '1' }, ''));
  };
  const { call } = await startGateway({ route: unsafe, upstreams: [refuse, makeResting(20_000)] });
  const reply = await call();
  expect(reply.status).toBe(503);
  expect(Number((await call()).headers['retry-after'])).toBeLessThan(1);
});
