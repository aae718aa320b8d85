import { setTimeout as pause } from 'node:timers/promises';
import { expect, test, vi } from 'vitest';
import type { FleetRetryBudget } from '@goldcrestscale/core';
import { ByteBudget, ByteReservation } from '@goldcrestscale/runtime';
import type { RequestProgress } from '../dispatch/requestProgress.js';
import { ResendPolicy } from '../dispatch/resendPolicy.js';
import type { GatewayExchange } from '../filters/gatewayExchange.js';
import { buildChunk, buildHead, buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';
import { buildRequestHead, connectRawCaller } from './rawCaller.js';
import type { RawCaller } from './rawCaller.js';

const BUFFER_BYTES = 1_000;

const BODY_BYTES = 5_000;

const LARGE_BYTES = 1_000_000;

const LARGE_RESPONSES = 12;

const READ_INTERVAL_MS = 300;

const startResponse = (status: number, { id, socket }: TestRequest): void => {
  const headers = { 'x-id': id, 'x-sig': 's', 'content-length': String(BODY_BYTES) };
  socket.write(`${buildHead(status, headers)}${'a'.repeat(BODY_BYTES - 1)}`);
};

// Guards against a process that is killed because upstreams send many large responses at once.
test('a response for which there is no memory is passed on as it comes', async () => {
  const requests: TestRequest[] = [];
  const { port } = await startGateway({
    upstreams: [
      (request) => {
        requests.push(request);
        startResponse(200, request);
      },
    ],
    bufferBytes: BUFFER_BYTES,
  });
  const caller = connectRawCaller(port);
  caller.socket.write(buildRequestHead('large', 'content-length: 0'));
  await caller.waitFor('a'.repeat(100));
  requests[0]!.socket.write('z');
  await caller.waitFor('z\r\n0\r\n\r\n');
  expect(caller.read().match(/a/g)!.length).toBeGreaterThanOrEqual(BODY_BYTES - 1);
});

// Guards against a failure that is held in memory, or passed on in part, because it might be retried.
test('a failure for which there is no memory ends in a whole error response', async () => {
  const { call } = await startGateway({
    route: { idempotent: false, maxUpstreams: 1 },
    upstreams: [(request) => startResponse(500, request)],
    bufferBytes: BUFFER_BYTES,
  });
  expect(await call()).toMatchObject({ status: 502, isWhole: true });
});

// Guards against a request that runs at one upstream after the other, beside memory that stays full.
test('a failure for which there is no memory is not sent elsewhere', async () => {
  const ids: string[] = [];
  const respond = (request: TestRequest): void => {
    ids.push(request.id);
    startResponse(500, request);
  };
  const { call, budget } = await startGateway({
    route: { idempotent: true, maxUpstreams: 2 },
    upstreams: [respond, respond],
    bufferBytes: BUFFER_BYTES,
  });
  const reply = await call();
  expect(reply).toMatchObject({ status: 502, isWhole: true });
  expect(JSON.parse(reply.body)).toMatchObject({ error: { code: 'upstream_failed' } });
  expect(ids).toHaveLength(1);
  await vi.waitUntil(() => budget.heldBytes === 0);
});

// Guards against a stream that takes the memory it was given up for once more, from others.
test('a stream whose event has no memory is cut, and not sent elsewhere', async () => {
  const ids: string[] = [];
  const respond = ({ id, socket }: TestRequest): void => {
    ids.push(id);
    socket.write(buildHead(200, { 'x-id': id, 'x-sig': 's', 'transfer-encoding': 'chunked' }));
    socket.write(buildChunk(`id: 1\ndata: a\n\nid: 2\ndata: ${'b'.repeat(BODY_BYTES)}`));
  };
  const { call, budget } = await startGateway({
    route: { streaming: true, resumable: true, idempotent: true, maxUpstreams: 2 },
    upstreams: [respond, respond],
    bufferBytes: BUFFER_BYTES,
  });
  expect(await call()).toMatchObject({
    status: 200,
    body: 'id: 1\ndata: a\n\n',
    isWhole: false,
  });
  expect(ids).toHaveLength(1);
  await vi.waitUntil(() => budget.heldBytes === 0);
});

// Guards against a request that is lost though the memory that its response lacked is free again.
test('a request is sent elsewhere once there is memory for its response', () => {
  const budget = new ByteBudget(BUFFER_BYTES);
  const exchange = {
    reservation: new ByteReservation(budget),
    route: { idempotent: true, maxUpstreams: 2 },
    signal: new AbortController().signal,
  } as unknown as GatewayExchange;
  const sends = { isNextFree: false, arrivals: 1 };
  const progress = { sends, executions: 1 } as unknown as RequestProgress;
  const retryBudget = { canRetry: () => true } as unknown as FleetRetryBudget;
  const policy = new ResendPolicy(retryBudget);
  const result = { kind: 'unknown', reason: 'no memory', neededBytes: 600 } as const;
  const others = new ByteReservation(budget);
  others.tryGrow(500);
  expect(policy.canSendAgain(exchange, progress, result)).toBe(false);
  others.release();
  expect(policy.canSendAgain(exchange, progress, result)).toBe(true);
});

/** Requests whose responses together are larger than what the sockets of a connection take. */
const sendLargeRequests = (caller: RawCaller): void => {
  for (let index = 0; index < LARGE_RESPONSES; index += 1) {
    caller.socket.write(buildRequestHead(`large-${index}`, 'content-length: 0'));
  }
};

const respondLarge = ({ id, socket }: TestRequest): void => {
  socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, 'a'.repeat(LARGE_BYTES)));
};

const SHORT_LIMITS = { bodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 50 };

/** The server adds a second to the timeout. */
const EFFECTIVE_TIMEOUT_MS = SHORT_LIMITS.idleTimeoutMs + 1_000;

// Guards against callers that never read and fill the memory for all others.
test('a caller that reads nothing for the idle timeout loses its connection', async () => {
  const { port, budget, applyLimits } = await startGateway({ upstreams: [respondLarge] });
  applyLimits(SHORT_LIMITS);
  const caller = connectRawCaller(port);
  caller.socket.pause();
  sendLargeRequests(caller);
  await pause(EFFECTIVE_TIMEOUT_MS / 2);
  expect(budget.heldBytes).toBeGreaterThan(LARGE_BYTES);
  await vi.waitUntil(() => budget.heldBytes === 0, { timeout: 3 * EFFECTIVE_TIMEOUT_MS });
});

// Guards against a limit that cuts callers who read slowly.
test('a caller that reads slowly gets all of its responses', async () => {
  const { port, applyLimits } = await startGateway({ upstreams: [respondLarge] });
  applyLimits(SHORT_LIMITS);
  const caller = connectRawCaller(port);
  caller.socket.pause();
  const startedAtMs = performance.now();
  sendLargeRequests(caller);
  const timer = setInterval(() => {
    caller.socket.resume();
    setImmediate(() => caller.socket.pause());
  }, READ_INTERVAL_MS);
  const totalBytes = LARGE_RESPONSES * LARGE_BYTES;
  await vi.waitUntil(() => caller.read().length > totalBytes, { timeout: 20_000 });
  clearInterval(timer);
  expect(performance.now() - startedAtMs).toBeGreaterThan(EFFECTIVE_TIMEOUT_MS);
  expect(caller.read().match(/a/g)!.length).toBeGreaterThanOrEqual(totalBytes);
}, 25_000);

// Guards against memory that runs out and nobody can tell what took it, or what was given up for it.
test('metrics tell what memory is held for, and which responses were given up', async () => {
  const { call, budget, metrics } = await startGateway({
    route: { idempotent: false, maxUpstreams: 1 },
    upstreams: [(request) => startResponse(500, request)],
    bufferBytes: BUFFER_BYTES,
  });
  await call({ body: 'x'.repeat(10) });
  metrics.setHeldBytes({ ...budget.purposes, response: 7 });
  const text = await metrics.render();
  expect(text).toContain('goldcrest_gateway_abandoned_answers_total{reason="memory"} 1');
  expect(text).toContain('goldcrest_gateway_held_bytes{purpose="response"} 7');
  await vi.waitUntil(() => Object.values(budget.purposes).every((bytes) => bytes === 0));
});
