import type { Socket } from 'node:net';
import { expect, test } from 'vitest';
import { buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

const UNEXECUTED_STATUSES = [408, 421, 429, 503];

/** Time for which an upstream runs a request. */
const RUN_MS = 40;

const unsafe = { idempotent: false, maxUpstreams: 1 };

const run = ({ id, socket }: TestRequest): void => {
  setTimeout(() => socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, id)), RUN_MS);
};

interface Refusal {
  readonly status: number;
  readonly isMarked: boolean;
}

const REFUSALS: readonly Refusal[] = [
  { status: 503, isMarked: true },
  { status: 429, isMarked: true },
  { status: 400, isMarked: true },
  { status: 421, isMarked: true },
  { status: 421, isMarked: false },
];

const buildRefusal = ({ status, isMarked }: Refusal, id: string | undefined): string =>
  buildResponse(
    status,
    { ...(id === undefined ? {} : { 'x-id': id }), ...(isMarked ? { 'x-not-run': '1' } : {}) },
    '',
  );

const cases = REFUSALS.flatMap((refusal) =>
  ['earlier', 'none'].map((idKind) => ({ ...refusal, idKind })),
);

// Guards against a refusal that was written once more on a kept connection: it belongs to an earlier request.
test.each(cases)(
  'a repeated refusal ($status, marked: $isMarked, id: $idKind) is no proof for the next request',
  async ({ status, isMarked, idKind }) => {
    const refusal = { status, isMarked };
    const refusedIds = new Map<Socket, string>();
    const { call, upstreams } = await startGateway({
      route: unsafe,
      upstreams: [
        (request) => {
          const { id, socket } = request;
          const earlier = refusedIds.get(socket);
          if (id === 'first' && earlier === undefined) {
            refusedIds.set(socket, id);
            socket.write(buildRefusal(refusal, idKind === 'none' ? undefined : id));
            return;
          }
          // The upstream runs the request, and writes its earlier refusal once more.
          if (earlier !== undefined) {
            socket.write(buildRefusal(refusal, idKind === 'none' ? undefined : earlier));
          }
          run(request);
        },
      ],
    });
    await call({ headers: { 'x-id': 'first' } });
    // The upstream gets nothing for a moment after a refusal.
    await expect
      .poll(async () => (await call({ headers: { 'x-id': 'second' } })).status, { timeout: 2_000 })
      .not.toBe(503);
    const runs = upstreams[0]!.received.filter(({ id }) => id === 'second');
    expect(runs).toHaveLength(1);
  },
);

// Guards against a request that goes back to its upstream on the connection on which that refused it.
test('a request is sent again only on a connection that has not refused it', async () => {
  let runs = 0;
  const refusedOn = new Set<Socket>();
  const misdirect = (id: string): string => buildResponse(421, { 'x-id': id }, '');
  const { call, upstreams } = await startGateway({
    route: unsafe,
    upstreams: [
      (request) => {
        const { id, socket } = request;
        if (refusedOn.size === 0) {
          refusedOn.add(socket);
          socket.write(misdirect(id));
          return;
        }
        if (refusedOn.has(socket)) socket.write(misdirect(id));
        runs += 1;
        run(request);
      },
    ],
  });
  const reply = await call();
  expect(runs).toBe(1);
  expect(reply.status).toBe(200);
  expect(upstreams[0]!.connections).toBe(2);
});

// Guards against the opposite: a refusal that proves itself must still lead to another upstream.
test.each([
  ['own', true],
  ['none', true],
  ['other', false],
])('a refusal on a new connection with the id: %s is believed: %s', async (idKind, isBelieved) => {
  const { call, upstreams } = await startGateway({
    route: unsafe,
    upstreams: [
      ({ id, socket }) => {
        const ids = new Map([
          ['own', id],
          ['other', 'foreign'],
        ]);
        socket.write(buildRefusal({ status: 503, isMarked: true }, ids.get(idKind)));
      },
      run,
    ],
  });
  const replies = await Promise.all([call(), call(), call()]);
  const statuses = replies.map(({ status }) => status);
  if (isBelieved) expect(statuses).toEqual([200, 200, 200]);
  else {
    expect(upstreams[0]!.received.length).toBeGreaterThan(0);
    statuses.forEach((status) => expect(UNEXECUTED_STATUSES).not.toContain(status));
    expect(statuses).toContain(502);
  }
});

// Guards against a failure without an id that is written once more and passed on for another request.
test.each([400, 404, 500, 503])(
  'a repeated failure (%s) without an id is no answer to the next request',
  async (status) => {
    const failedOn = new Set<Socket>();
    const { call } = await startGateway({
      route: unsafe,
      upstreams: [
        (request) => {
          const failure = buildResponse(status, { 'x-sig': 's' }, 'of the first request');
          const hasFailed = failedOn.size > 0;
          if (!hasFailed || failedOn.has(request.socket)) request.socket.write(failure);
          failedOn.add(request.socket);
          if (hasFailed) run(request);
        },
      ],
    });
    await call({ headers: { 'x-id': 'first' } });
    const reply = await call({ headers: { 'x-id': 'second' } });
    expect(reply).toMatchObject({ status: 200, body: 'second' });
  },
);
