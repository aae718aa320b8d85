import { setTimeout as pause } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { toId } from '@goldcrestscale/core';
import type { UpstreamId } from '@goldcrestscale/core';
import { buildAnswer, buildChunk, buildHead } from './fakeUpstream.js';
import type { SeenRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

const ok = ({ id, socket }: SeenRequest): void => {
  socket.write(buildAnswer(200, { 'x-id': id, 'x-sig': 's' }, 'fine'));
};

const refuse = ({ id, socket }: SeenRequest): void => {
  socket.write(buildAnswer(503, { 'x-id': id, 'x-not-run': '1' }, ''));
};

const fail = ({ id, socket }: SeenRequest): void => {
  socket.write(buildAnswer(500, { 'x-id': id, 'x-sig': 's' }, 'broken'));
};

const reset = ({ socket }: SeenRequest): void => {
  socket.resetAndDestroy();
};

const streamHead = ({ id }: SeenRequest): string =>
  buildHead(200, { 'x-id': id, 'x-sig': 's', 'transfer-encoding': 'chunked' });

const makeEvent = (id: number): string => `id: ${id}\ndata: ${'x'.repeat(20)}\n\n`;

const countSeen = (upstreams: readonly { readonly seen: readonly unknown[] }[]): number =>
  upstreams.reduce((sum, { seen }) => sum + seen.length, 0);

const unsafe = { idempotent: false, maxUpstreams: 1 };

const stream = { streaming: true, idempotent: false, maxUpstreams: 1 };

const resumable = { streaming: true, resumable: true, idempotent: true, maxUpstreams: 2 };

test('an answer passes through with its status, signature and body', async () => {
  const { call } = await startGateway({ upstreams: [ok] });
  const reply = await call({ body: 'hello' });
  expect(reply).toMatchObject({ status: 200, body: 'fine', isWhole: true });
  expect(reply.headers).toMatchObject({ 'x-sig': 's' });
});

test('one connection carries requests one after the other', async () => {
  const { call, upstreams } = await startGateway({ upstreams: [ok] });
  await call();
  await call();
  await call();
  expect(upstreams[0]!.connections).toBe(1);
});

test('a request that was proved not to have run goes to another upstream', async () => {
  const { call, upstreams } = await startGateway({
    route: unsafe,
    upstreams: [refuse, refuse, ok],
  });
  const replies = await Promise.all([call(), call(), call(), call()]);
  expect(replies.every(({ status }) => status === 200)).toBe(true);
  expect(upstreams[2]!.seen).toHaveLength(4);
});

test('a refusal by all upstreams is told with the time to come back', async () => {
  const { call } = await startGateway({ route: unsafe, upstreams: [refuse, refuse] });
  const reply = await call();
  expect(reply.status).toBe(503);
  expect(Number(reply.headers['retry-after'])).toBeGreaterThan(0);
});

test('an unrepeatable request that may have run is never sent again nor said not to have run', async () => {
  const { call, upstreams } = await startGateway({ route: unsafe, upstreams: [reset, reset] });
  const reply = await call();
  expect(reply.status).toBe(502);
  expect(countSeen(upstreams)).toBe(1);
});

test('an idempotent request is sent again within the bound of its route', async () => {
  const { call, upstreams } = await startGateway({ upstreams: [fail, fail, fail, fail] });
  const reply = await call();
  expect(reply).toMatchObject({ status: 500, body: 'broken' });
  expect(reply.headers).toMatchObject({ 'x-sig': 's' });
  expect(countSeen(upstreams)).toBe(2);
});

test('a 503 without proof becomes a failure that promises nothing', async () => {
  const busy = ({ id, socket }: SeenRequest): void => {
    socket.write(buildAnswer(503, { 'x-id': id, 'x-sig': 's' }, ''));
  };
  const { call } = await startGateway({ route: unsafe, upstreams: [busy] });
  expect((await call()).status).toBe(502);
});

test('an answer to another request is never passed on', async () => {
  const foreign = ({ socket }: SeenRequest): void => {
    socket.write(buildAnswer(200, { 'x-id': 'other', 'x-sig': 's' }, 'secret'));
  };
  const { call } = await startGateway({ route: unsafe, upstreams: [foreign] });
  const reply = await call();
  expect(reply.status).toBe(502);
  expect(reply.body).not.toContain('secret');
});

test('a success without signature is never passed on', async () => {
  const unsigned = ({ id, socket }: SeenRequest): void => {
    socket.write(buildAnswer(200, { 'x-id': id }, 'forged'));
  };
  const { call } = await startGateway({ route: unsafe, upstreams: [unsigned] });
  expect((await call()).status).toBe(502);
});

test('a second answer on a connection is never taken for the next one', async () => {
  const twice = ({ id, socket }: SeenRequest): void => {
    const answer = buildAnswer(200, { 'x-id': id, 'x-sig': 's' }, id);
    socket.write(answer);
    setTimeout(() => socket.write(answer), 20);
  };
  const { call, upstreams } = await startGateway({ upstreams: [twice] });
  const first = await call({ headers: { 'x-id': 'one' } });
  await pause(60);
  const second = await call({ headers: { 'x-id': 'two' } });
  expect([first.body, second.body]).toEqual(['one', 'two']);
  expect(upstreams[0]!.connections).toBe(2);
});

test('an answer without a length is whole at a clean end of its connection', async () => {
  const unframed = ({ id, socket }: SeenRequest): void => {
    socket.end(`${buildHead(200, { 'x-id': id, 'x-sig': 's', connection: 'close' })}fine`);
  };
  const { call } = await startGateway({ route: unsafe, upstreams: [unframed] });
  expect(await call()).toMatchObject({ status: 200, body: 'fine', isWhole: true });
});

test('an answer without a length that a reset ends is not whole', async () => {
  const cut = ({ id, socket }: SeenRequest): void => {
    socket.write(`${buildHead(200, { 'x-id': id, 'x-sig': 's', connection: 'close' })}fi`);
    setTimeout(() => socket.resetAndDestroy(), 30);
  };
  const { call } = await startGateway({ route: unsafe, upstreams: [cut] });
  expect((await call()).status).toBe(502);
});

test('an answer without a length whose end and reset come together is not whole', async () => {
  const cut = ({ id, socket }: SeenRequest): void => {
    const head = buildHead(200, { 'x-id': id, 'x-sig': 's', connection: 'close' });
    // The gateway finds the bytes and the reset in the same poll.
    socket.write(`${head}fi`, () => socket.resetAndDestroy());
  };
  const { call } = await startGateway({ route: unsafe, upstreams: [cut] });
  const replies = await Promise.all(Array.from({ length: 20 }, () => call()));
  expect(replies.map(({ status }) => status)).toEqual(replies.map(() => 502));
});

test('an answer with a length that is cut short is not whole', async () => {
  const cut = ({ id, socket }: SeenRequest): void => {
    const head = buildHead(200, { 'x-id': id, 'x-sig': 's', 'content-length': '100' });
    socket.end(`${head}some`);
  };
  const { call } = await startGateway({ route: unsafe, upstreams: [cut] });
  expect((await call()).status).toBe(502);
});

test('a stream that breaks and can not go on ends as cut', async () => {
  const cut = (request: SeenRequest): void => {
    request.socket.write(streamHead(request) + buildChunk(makeEvent(1)));
    setTimeout(() => request.socket.resetAndDestroy(), 30);
  };
  const { call, upstreams } = await startGateway({ route: stream, upstreams: [cut, cut] });
  const reply = await call();
  expect(reply.isWhole).toBe(false);
  expect(countSeen(upstreams)).toBe(1);
});

test('a resumable stream goes on at another upstream after its last whole event', async () => {
  let starts = 0;
  const script = (request: SeenRequest): void => {
    starts += 1;
    if (starts === 1) {
      const half = makeEvent(3).slice(0, 9);
      request.socket.write(streamHead(request) + buildChunk(makeEvent(1) + makeEvent(2) + half));
      setTimeout(() => request.socket.resetAndDestroy(), 30);
      return;
    }
    expect(request.head).toMatch(/last-event-id: 2/i);
    // It begins one event too early; the caller must not get it twice.
    const events = [2, 3, 4].map((id) => buildChunk(makeEvent(id))).join('');
    request.socket.write(`${streamHead(request)}${events}0\r\n\r\n`);
  };
  const { call } = await startGateway({ route: resumable, upstreams: [script, script] });
  const reply = await call();
  expect(reply.isWhole).toBe(true);
  expect(reply.body).toBe([1, 2, 3, 4].map(makeEvent).join(''));
});

test('a refusal of the upstream where a stream should go on does not end it as whole', async () => {
  let starts = 0;
  const script = (request: SeenRequest): void => {
    starts += 1;
    if (starts > 1) {
      const { id, socket } = request;
      socket.write(buildAnswer(421, { 'x-id': id, 'x-instance': 'someone-else' }, ''));
      return;
    }
    request.socket.write(streamHead(request) + buildChunk(makeEvent(1)));
    setTimeout(() => request.socket.resetAndDestroy(), 30);
  };
  const { call } = await startGateway({ route: resumable, upstreams: [script, script] });
  expect((await call()).isWhole).toBe(false);
});

test('an upstream that answers under another name gets no further request', async () => {
  const moved = ({ id, socket }: SeenRequest): void => {
    socket.write(buildAnswer(421, { 'x-id': id, 'x-instance': 'someone-else' }, ''));
  };
  const { call, upstreams, fleetState } = await startGateway({ upstreams: [moved, ok] });
  const replies = [];
  for (let count = 0; count < 6; count += 1) replies.push(await call());
  expect(replies.every(({ status }) => status === 200)).toBe(true);
  expect(upstreams[0]!.seen.length).toBeLessThanOrEqual(1);
  const upstream = fleetState.registry.find(toId<UpstreamId>('up-0'));
  expect(upstreams[0]!.seen.length === 0 || upstream?.isDown).toBe(true);
});

test('a request without an answer ends at the time-out of its route', async () => {
  const mute = (): void => undefined;
  const { call } = await startGateway({ route: { ...unsafe, timeoutMs: 150 }, upstreams: [mute] });
  const startedAtMs = performance.now();
  expect((await call()).status).toBe(504);
  expect(performance.now() - startedAtMs).toBeLessThan(600);
});

test('an upstream is told no more time than is left', async () => {
  const { call, upstreams } = await startGateway({ upstreams: [ok] });
  await call({ headers: { 'x-wait': '700' } });
  await call({ headers: { 'x-wait': '60000' } });
  const left = upstreams[0]!.seen.map(({ head }) => Number(/x-left: (\d+)/i.exec(head)?.[1]));
  expect(left[0]).toBeLessThanOrEqual(700);
  expect(left[1]).toBeLessThanOrEqual(2_000);
});

test('a caller that leaves ends the work of its upstream', async () => {
  const closed: boolean[] = [];
  const mute = ({ socket }: SeenRequest): void => {
    socket.once('close', () => closed.push(true));
  };
  const { call } = await startGateway({ route: unsafe, upstreams: [mute] });
  const caller = new AbortController();
  const reply = call({ signal: caller.signal }).catch(() => undefined);
  await pause(80);
  caller.abort();
  await reply;
  await pause(80);
  expect(closed).toEqual([true]);
});

test('an unreachable upstream is passed over', async () => {
  const { call, upstreams, fleetState } = await startGateway({
    route: unsafe,
    upstreams: [ok, ok],
  });
  upstreams[0]!.close();
  await pause(20);
  const replies = await Promise.all([call(), call(), call(), call()]);
  expect(replies.every(({ status }) => status === 200)).toBe(true);
  expect(fleetState.registry.find(toId<UpstreamId>('up-1'))?.inFlight).toBe(0);
});

test('without a configuration requests are refused, never denied', async () => {
  const { call } = await startGateway({ isUnconfigured: true, upstreams: [] });
  expect((await call()).status).toBe(503);
});

test('unknown paths, keys and ids are told apart', async () => {
  const accounts = [
    {
      id: toId<never>('account'),
      keys: ['good'],
      priority: undefined,
      isolated: false,
      regions: [],
    },
  ];
  const { call } = await startGateway({ route: { anonymous: false }, accounts, upstreams: [ok] });
  expect((await call({ path: '/none' })).status).toBe(404);
  expect((await call({ headers: { 'x-key': 'bad' } })).status).toBe(401);
  expect((await call()).status).toBe(401);
  expect((await call({ headers: { 'x-key': 'good' } })).status).toBe(200);
});

test('a body over the limit is refused', async () => {
  const { call, upstreams } = await startGateway({ upstreams: [ok] });
  expect((await call({ body: 'x'.repeat(2_000) })).status).toBe(413);
  expect(countSeen(upstreams)).toBe(0);
});

test('near the end of a shutdown requests are refused as not run', async () => {
  const { call } = await startGateway({ isRefusing: () => true, upstreams: [ok] });
  expect((await call()).status).toBe(503);
});

test('a draining upstream and one whose zone is out get nothing', async () => {
  const { call, fleetState, operators, upstreams } = await startGateway({ upstreams: [ok, ok] });
  const { registered } = fleetState.registry.find(toId<UpstreamId>('up-0'))!;
  fleetState.registry.apply({
    kind: 'present',
    upstream: { ...registered, draining: true, heartbeat: 2 },
  });
  await Promise.all([call(), call(), call()]);
  expect(upstreams[0]!.seen).toHaveLength(0);
  operators.apply({ kind: 'zone-out', zone: registered.availabilityZone });
  expect((await call()).status).toBe(503);
});

test('an answer later than the objective of its route is counted, one in time is not', async () => {
  const { call, metrics } = await startGateway({
    route: { objectiveMs: 100 },
    upstreams: [
      (request) => {
        setTimeout(() => ok(request), request.head.includes('/a/slow') ? 160 : 0);
      },
    ],
  });
  await call({ path: '/a/fast' });
  expect(await metrics.render()).not.toContain('late_answers_total{');
  expect((await call({ path: '/a/slow' })).status).toBe(200);
  expect(await metrics.render()).toContain('late_answers_total{route="route"} 1');
});
