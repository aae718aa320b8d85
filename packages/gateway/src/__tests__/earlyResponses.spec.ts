import { expect, test } from 'vitest';
import { buildChunk, buildHead, buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';
import type { CallerReply } from './gatewayHarness.js';

/** More than the buffers of a connection take. */
const UPLOAD = 'x'.repeat(4_000_000);

const PART = `id: 1\ndata: ${'x'.repeat(20)}\n\n`;

const RESET_DELAY_MS = 30;

const ROUTES = {
  safe: { idempotent: true, maxUpstreams: 2 },
  unsafe: { idempotent: false, maxUpstreams: 1 },
  streaming: { streaming: true, idempotent: false, maxUpstreams: 1 },
} as const;

/** How an upstream ends its response while the request is still being written. */
const ENDINGS = {
  'reset at once': ({ socket }: TestRequest) => socket.resetAndDestroy(),
  'reset later': ({ socket }: TestRequest) =>
    setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS),
  'closed unread': ({ socket }: TestRequest) => socket.pause().end(),
  'closed and read on': ({ socket }: TestRequest) => socket.end(),
} as const;

type RouteName = keyof typeof ROUTES;
type EndingName = keyof typeof ENDINGS;

const listCases = <Third>(
  thirds: readonly Third[],
): readonly (readonly [RouteName, number, Third])[] =>
  (Object.keys(ROUTES) as RouteName[]).flatMap((route) =>
    [0, 1_000_000].flatMap((bytes) => thirds.map((third) => [route, bytes, third] as const)),
  );

const isSuccess = ({ status, isWhole }: CallerReply): boolean => status < 300 && isWhole;

// Guards against a part of a response that reaches the caller as a complete answer.
test.each(listCases(Object.keys(ENDINGS) as EndingName[]))(
  'a response without a length to a %s request, after %i bytes of it, that is %s is not whole',
  async (route, answersAfterBytes, ending) => {
    const respond = (request: TestRequest): void => {
      const headers = { 'x-id': request.id, 'x-sig': 's', connection: 'close' };
      request.socket.write(buildHead(200, headers) + PART);
      ENDINGS[ending](request);
    };
    const { call } = await startGateway({
      route: ROUTES[route],
      upstreams: [respond, respond],
      answersAfterBytes,
      bodyBytes: UPLOAD.length,
    });
    const reply = await call({ body: UPLOAD });
    expect(isSuccess(reply)).toBe(false);
    if (route !== 'streaming') expect(reply).toMatchObject({ status: 502, isWhole: true });
  },
);

const RESPONSES = {
  length: (id: string) => buildResponse(200, { 'x-id': id, 'x-sig': 's' }, PART),
  chunks: (id: string) => {
    const headers = { 'x-id': id, 'x-sig': 's', 'transfer-encoding': 'chunked' };
    return `${buildHead(200, headers)}${buildChunk(PART)}0\r\n\r\n`;
  },
} as const;

// Guards against sound upstreams whose early responses are lost, because their requests are still being written.
test.each(listCases(Object.keys(RESPONSES) as (keyof typeof RESPONSES)[]))(
  'a response to a %s request, after %i bytes of it, that says its end by %s is whole',
  async (route, answersAfterBytes, framing) => {
    const { call } = await startGateway({
      route: ROUTES[route],
      upstreams: [({ id, socket }) => socket.write(RESPONSES[framing](id))],
      answersAfterBytes,
      bodyBytes: UPLOAD.length,
    });
    expect(await call({ body: UPLOAD })).toMatchObject({ status: 200, body: PART, isWhole: true });
  },
);

test('a response without a body is whole before the end of its request', async () => {
  const { call } = await startGateway({
    route: ROUTES.unsafe,
    upstreams: [({ id, socket }) => socket.write(buildHead(204, { 'x-id': id, 'x-sig': 's' }))],
    answersAfterBytes: 0,
    bodyBytes: UPLOAD.length,
  });
  expect(await call({ body: UPLOAD })).toMatchObject({ status: 204, isWhole: true });
});

// Guards against a status that HTTP does not have and that reaches the caller as an answer.
test.each(listCases(['000', '099', '20', '600', '999', '1000', '0200', '2x0']))(
  'a response to a %s request, after %i bytes of it, with status %s is no answer',
  async (route, answersAfterBytes, status) => {
    const respond = ({ id, socket }: TestRequest): void => {
      const lines = [`HTTP/1.1 ${status} Odd`, `x-id: ${id}`, 'x-sig: s', 'content-length: 2'];
      socket.write([...lines, '', 'no'].join('\r\n'));
    };
    const { call } = await startGateway({
      route: ROUTES[route],
      upstreams: [respond, respond],
      answersAfterBytes,
      bodyBytes: UPLOAD.length,
    });
    expect(await call({ body: UPLOAD })).toMatchObject({ status: 502, isWhole: true });
  },
);
