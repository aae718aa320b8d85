import { setTimeout as pause } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { toId } from '@goldcrestscale/core';
import type { UpstreamId } from '@goldcrestscale/core';
import { buildResponse, buildChunk, buildHead } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

const respond = ({ id, socket }: TestRequest): void => {
  socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, 'fine'));
};

const refuse = ({ id, socket }: TestRequest): void => {
  socket.write(buildResponse(503, { 'x-id': id, 'x-not-run': '1' }, ''));
};

const fail = ({ id, socket }: TestRequest): void => {
  socket.write(buildResponse(500, { 'x-id': id, 'x-sig': 's' }, 'broken'));
};

const reset = ({ socket }: TestRequest): void => {
  socket.resetAndDestroy();
};

const streamHead = ({ id }: TestRequest): string =>
  buildHead(200, { 'x-id': id, 'x-sig': 's', 'transfer-encoding': 'chunked' });

const makeEvent = (id: number): string => `id: ${id}\ndata: ${'x'.repeat(20)}\n\n`;

const countRequests = (upstreams: readonly { readonly received: readonly unknown[] }[]): number =>
  upstreams.reduce((sum, { received }) => sum + received.length, 0);

const unsafe = { idempotent: false, maxUpstreams: 1 };

const streamRoute = { streaming: true, idempotent: false, maxUpstreams: 1 };

const resumableRoute = { streaming: true, resumable: true, idempotent: true, maxUpstreams: 2 };

test('forwards the status, signature and body of a response', async () => {
  const { call } = await startGateway({ upstreams: [respond] });
  const reply = await call({ body: 'hello' });
  expect(reply).toMatchObject({ status: 200, body: 'fine', isWhole: true });
  expect(reply.headers).toMatchObject({ 'x-sig': 's' });
});

test('reuses a connection for consecutive requests', async () => {
  const { call, upstreams } = await startGateway({ upstreams: [respond] });
  await call();
  await call();
  await call();
  expect(upstreams[0]!.connections).toBe(1);
});

test('retries a request at another upstream if it is proved not to have been executed', async () => {
  const { call, upstreams } = await startGateway({
    route: unsafe,
    upstreams: [refuse, refuse, respond],
  });
  const replies = await Promise.all([call(), call(), call(), call()]);
  expect(replies.every(({ status }) => status === 200)).toBe(true);
  expect(upstreams[2]!.received).toHaveLength(4);
});

test('returns 503 with retry-after if all upstreams refuse', async () => {
  const { call } = await startGateway({ route: unsafe, upstreams: [refuse, refuse] });
  const reply = await call();
  expect(reply.status).toBe(503);
  expect(Number(reply.headers['retry-after'])).toBeGreaterThan(0);
});

test('neither retries a non-idempotent request that may have been executed nor reports it as not executed', async () => {
  const { call, upstreams } = await startGateway({ route: unsafe, upstreams: [reset, reset] });
  const reply = await call();
  expect(reply.status).toBe(502);
  expect(countRequests(upstreams)).toBe(1);
});

test('retries an idempotent request up to the limit of its route', async () => {
  const { call, upstreams } = await startGateway({ upstreams: [fail, fail, fail, fail] });
  const reply = await call();
  expect(reply).toMatchObject({ status: 500, body: 'broken' });
  expect(reply.headers).toMatchObject({ 'x-sig': 's' });
  expect(countRequests(upstreams)).toBe(2);
});

test('turns a 503 without proof of non-execution into a 502', async () => {
  const respondBusy = ({ id, socket }: TestRequest): void => {
    socket.write(buildResponse(503, { 'x-id': id, 'x-sig': 's' }, ''));
  };
  const { call } = await startGateway({ route: unsafe, upstreams: [respondBusy] });
  expect((await call()).status).toBe(502);
});

test('never forwards a response to another request', async () => {
  const mismatch = ({ socket }: TestRequest): void => {
    socket.write(buildResponse(200, { 'x-id': 'other', 'x-sig': 's' }, 'secret'));
  };
  const { call } = await startGateway({ route: unsafe, upstreams: [mismatch] });
  const reply = await call();
  expect(reply.status).toBe(502);
  expect(reply.body).not.toContain('secret');
});

test('never forwards an unsigned success response', async () => {
  const respondUnsigned = ({ id, socket }: TestRequest): void => {
    socket.write(buildResponse(200, { 'x-id': id }, 'forged'));
  };
  const { call } = await startGateway({ route: unsafe, upstreams: [respondUnsigned] });
  expect((await call()).status).toBe(502);
});

test('never takes a duplicate response for the response to the next request', async () => {
  const respondTwice = ({ id, socket }: TestRequest): void => {
    const response = buildResponse(200, { 'x-id': id, 'x-sig': 's' }, id);
    socket.write(response);
    setTimeout(() => socket.write(response), 20);
  };
  const { call, upstreams } = await startGateway({ upstreams: [respondTwice] });
  const first = await call({ headers: { 'x-id': 'one' } });
  await pause(60);
  const second = await call({ headers: { 'x-id': 'two' } });
  expect([first.body, second.body]).toEqual(['one', 'two']);
  expect(upstreams[0]!.connections).toBe(2);
});

test('accepts a response without content length that ends with a clean close', async () => {
  const respondUnframed = ({ id, socket }: TestRequest): void => {
    socket.end(`${buildHead(200, { 'x-id': id, 'x-sig': 's', connection: 'close' })}fine`);
  };
  const { call } = await startGateway({ route: unsafe, upstreams: [respondUnframed] });
  expect(await call()).toMatchObject({ status: 200, body: 'fine', isWhole: true });
});

test('rejects a response without content length that ends with a reset', async () => {
  const cut = ({ id, socket }: TestRequest): void => {
    socket.write(`${buildHead(200, { 'x-id': id, 'x-sig': 's', connection: 'close' })}fi`);
    setTimeout(() => socket.resetAndDestroy(), 30);
  };
  const { call } = await startGateway({ route: unsafe, upstreams: [cut] });
  expect((await call()).status).toBe(502);
});

test('rejects a response without content length if data and reset arrive together', async () => {
  const cut = ({ id, socket }: TestRequest): void => {
    const head = buildHead(200, { 'x-id': id, 'x-sig': 's', connection: 'close' });
    // The gateway receives the data and the reset in the same event loop iteration.
    socket.write(`${head}fi`, () => socket.resetAndDestroy());
  };
  const { call } = await startGateway({ route: unsafe, upstreams: [cut] });
  const replies = await Promise.all(Array.from({ length: 20 }, () => call()));
  expect(replies.map(({ status }) => status)).toEqual(replies.map(() => 502));
});

test('rejects a response that is shorter than its content length', async () => {
  const cut = ({ id, socket }: TestRequest): void => {
    const head = buildHead(200, { 'x-id': id, 'x-sig': 's', 'content-length': '100' });
    socket.end(`${head}some`);
  };
  const { call } = await startGateway({ route: unsafe, upstreams: [cut] });
  expect((await call()).status).toBe(502);
});

test('cuts the connection of the caller if a stream breaks that is not resumable', async () => {
  const cut = (request: TestRequest): void => {
    request.socket.write(streamHead(request) + buildChunk(makeEvent(1)));
    setTimeout(() => request.socket.resetAndDestroy(), 30);
  };
  const { call, upstreams } = await startGateway({ route: streamRoute, upstreams: [cut, cut] });
  const reply = await call();
  expect(reply.isWhole).toBe(false);
  expect(countRequests(upstreams)).toBe(1);
});

test('a broken stream is resumed at another upstream after its last complete event', async () => {
  let streamCount = 0;
  const serve = (request: TestRequest): void => {
    streamCount += 1;
    if (streamCount === 1) {
      const partial = makeEvent(3).slice(0, 9);
      request.socket.write(streamHead(request) + buildChunk(makeEvent(1) + makeEvent(2) + partial));
      setTimeout(() => request.socket.resetAndDestroy(), 30);
      return;
    }
    expect(request.head).toMatch(/last-event-id: 2/i);
    // The resumed stream repeats event 2, which the caller must not get twice.
    const events = [2, 3, 4].map((id) => buildChunk(makeEvent(id))).join('');
    request.socket.write(`${streamHead(request)}${events}0\r\n\r\n`);
  };
  const { call } = await startGateway({ route: resumableRoute, upstreams: [serve, serve] });
  const reply = await call();
  expect(reply.isWhole).toBe(true);
  expect(reply.body).toBe([1, 2, 3, 4].map(makeEvent).join(''));
});

test('cuts the stream if the upstream that should resume it refuses', async () => {
  let streamCount = 0;
  const serve = (request: TestRequest): void => {
    streamCount += 1;
    if (streamCount > 1) {
      const { id, socket } = request;
      socket.write(buildResponse(421, { 'x-id': id, 'x-instance': 'someone-else' }, ''));
      return;
    }
    request.socket.write(streamHead(request) + buildChunk(makeEvent(1)));
    setTimeout(() => request.socket.resetAndDestroy(), 30);
  };
  const { call } = await startGateway({ route: resumableRoute, upstreams: [serve, serve] });
  expect((await call()).isWhole).toBe(false);
});

test('sends no further requests to an upstream that responds with another id', async () => {
  const respondMoved = ({ id, socket }: TestRequest): void => {
    socket.write(buildResponse(421, { 'x-id': id, 'x-instance': 'someone-else' }, ''));
  };
  const { call, upstreams, fleetState } = await startGateway({
    upstreams: [respondMoved, respond],
  });
  const replies = [];
  for (let count = 0; count < 6; count += 1) replies.push(await call());
  expect(replies.every(({ status }) => status === 200)).toBe(true);
  expect(upstreams[0]!.received.length).toBeLessThanOrEqual(1);
  const upstream = fleetState.registry.find(toId<UpstreamId>('up-0'));
  expect(upstreams[0]!.received.length === 0 || upstream?.isDown).toBe(true);
});

test('ends a request without response at the timeout of its route', async () => {
  const ignore = (): void => undefined;
  const { call } = await startGateway({
    route: { ...unsafe, timeoutMs: 150 },
    upstreams: [ignore],
  });
  const startedAtMs = performance.now();
  expect((await call()).status).toBe(504);
  expect(performance.now() - startedAtMs).toBeLessThan(600);
});

test('sends the upstream no longer timeout than the remaining time', async () => {
  const { call, upstreams } = await startGateway({ upstreams: [respond] });
  await call({ headers: { 'x-wait': '700' } });
  await call({ headers: { 'x-wait': '60000' } });
  const leftMs = upstreams[0]!.received.map(({ head }) => Number(/x-left: (\d+)/i.exec(head)?.[1]));
  expect(leftMs[0]).toBeLessThanOrEqual(700);
  expect(leftMs[1]).toBeLessThanOrEqual(2_000);
});

test('closes the upstream connection if the caller disconnects', async () => {
  const closed: boolean[] = [];
  const ignore = ({ socket }: TestRequest): void => {
    socket.once('close', () => closed.push(true));
  };
  const { call } = await startGateway({ route: unsafe, upstreams: [ignore] });
  const caller = new AbortController();
  const reply = call({ signal: caller.signal }).catch(() => undefined);
  await pause(80);
  caller.abort();
  await reply;
  await pause(80);
  expect(closed).toEqual([true]);
});

test('skips an unreachable upstream', async () => {
  const { call, upstreams, fleetState } = await startGateway({
    route: unsafe,
    upstreams: [respond, respond],
  });
  upstreams[0]!.close();
  await pause(20);
  const replies = await Promise.all([call(), call(), call(), call()]);
  expect(replies.every(({ status }) => status === 200)).toBe(true);
  expect(fleetState.registry.find(toId<UpstreamId>('up-1'))?.inFlight).toBe(0);
});

test('returns 503 without a configuration', async () => {
  const { call } = await startGateway({ isUnconfigured: true, upstreams: [] });
  expect((await call()).status).toBe(503);
});

test('distinguishes unknown paths from unknown and missing keys', async () => {
  const accounts = [
    {
      id: toId<never>('account'),
      keys: ['good'],
      priority: undefined,
      isolated: false,
      regions: [],
    },
  ];
  const { call } = await startGateway({
    route: { anonymous: false },
    accounts,
    upstreams: [respond],
  });
  expect((await call({ path: '/none' })).status).toBe(404);
  expect((await call({ headers: { 'x-key': 'bad' } })).status).toBe(401);
  expect((await call()).status).toBe(401);
  expect((await call({ headers: { 'x-key': 'good' } })).status).toBe(200);
});

test('rejects a body over the size limit', async () => {
  const { call, upstreams } = await startGateway({ upstreams: [respond] });
  expect((await call({ body: 'x'.repeat(2_000) })).status).toBe(413);
  expect(countRequests(upstreams)).toBe(0);
});

test('returns 503 near the end of a shutdown', async () => {
  const { call } = await startGateway({ isRefusing: () => true, upstreams: [respond] });
  expect((await call()).status).toBe(503);
});

test('sends nothing to a draining upstream or to one in a zone out of service', async () => {
  const { call, fleetState, operators, upstreams } = await startGateway({
    upstreams: [respond, respond],
  });
  const { registered } = fleetState.registry.find(toId<UpstreamId>('up-0'))!;
  fleetState.registry.apply({
    kind: 'present',
    upstream: { ...registered, draining: true, heartbeat: 2 },
  });
  await Promise.all([call(), call(), call()]);
  expect(upstreams[0]!.received).toHaveLength(0);
  operators.apply({ kind: 'zone-out', zone: registered.availabilityZone });
  expect((await call()).status).toBe(503);
});

test('counts only the responses that exceed the objective of their route', async () => {
  const { call, metrics } = await startGateway({
    route: { objectiveMs: 100 },
    upstreams: [
      (request) => {
        setTimeout(() => respond(request), request.head.includes('/a/slow') ? 160 : 0);
      },
    ],
  });
  await call({ path: '/a/fast' });
  expect(await metrics.render()).not.toContain('late_answers_total{');
  expect((await call({ path: '/a/slow' })).status).toBe(200);
  expect(await metrics.render()).toContain('late_answers_total{route="route"} 1');
});
