import fc from 'fast-check';
import { expect, test } from 'vitest';
import { buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

const MIN_STATUS = 200;
const MAX_STATUS = 599;
const MISDIRECTED_STATUS = 421;

const isValidStatus = (status: number): boolean => status >= MIN_STATUS && status <= MAX_STATUS;

const respondValidly = ({ id, socket }: TestRequest): void => {
  socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, 'valid'));
};

/** The head of a response with a status line that is sent as it is. */
const buildRawResponse = (statusLine: string, lines: readonly string[], body: string): string =>
  [statusLine, ...lines, `content-length: ${Buffer.byteLength(body)}`, '', body].join('\r\n');

/** Starts a gateway with one upstream, which answers every path with `/invalid` as told. */
const startWithInvalidUpstream = (
  respond: (request: TestRequest) => void,
  route: { readonly streaming?: boolean; readonly idempotent?: boolean } = {},
) =>
  startGateway({
    route: { idempotent: false, maxUpstreams: 1, ...route },
    upstreams: [
      (request) => (request.head.includes('/invalid') ? respond(request) : respondValidly(request)),
    ],
  });

const formatStatus = (status: number): string => String(status).padStart(3, '0');

// Guards against a status that HTTP does not have: passing it on threw in an event handler, which ended the VM.
test('no status of an upstream ends the gateway or reaches a caller as another one', async () => {
  let status = 0;
  const respond = ({ id, socket }: TestRequest): void => {
    const lines = [`x-id: ${id}`, 'x-sig: s'];
    socket.write(buildRawResponse(`HTTP/1.1 ${formatStatus(status)} Unknown`, lines, 'no'));
  };
  const plain = await startWithInvalidUpstream(respond);
  const stream = await startWithInvalidUpstream(respond, { streaming: true });
  const anyStatus = fc.oneof(fc.integer({ min: 0, max: 99 }), fc.integer({ min: 0, max: 999 }));
  await fc.assert(
    fc.asyncProperty(anyStatus, fc.boolean(), async (nextStatus, isStream) => {
      status = nextStatus;
      const gateway = isStream ? stream : plain;
      const reply = await gateway.call({ path: '/a/invalid', headers: { 'x-wait': '300' } });
      if (!isValidStatus(status)) expect([502, 504]).toContain(reply.status);
      else if (reply.isWhole && status !== MISDIRECTED_STATUS)
        expect([status, 502]).toContain(reply.status);
      // The upstream has not run the request, and there is no other one.
      else if (reply.isWhole) expect(reply.status).toBe(503);
      expect((await gateway.call()).body).toBe('valid');
    }),
    {
      numRuns: 150,
      examples: [
        [0, false],
        [0, true],
        [99, false],
        [100, false],
        [101, true],
        [421, false],
        [421, true],
        [600, false],
        [999, true],
      ],
    },
  );
});

// Guards against a header that Node.js refuses to send on: what it throws ends one exchange, not the VM.
test.each([
  ['trailer', 'Trailer: x-after'],
  ['second length', 'x-unusual: 1\r\nContent-Length: 2'],
  ['latin-1 text', 'x-unusual: \u00e9\u00ff'],
  ['empty value', 'x-unusual:'],
  ['connection option', 'Connection: x-sig, x-id'],
])('a response with an unusual header (%s) leaves other requests alone', async (_, line) => {
  const gateway = await startWithInvalidUpstream(({ id, socket }) => {
    const lines = [`x-id: ${id}`, 'x-sig: s', line];
    socket.write(Buffer.from(buildRawResponse('HTTP/1.1 200 OK', lines, 'no'), 'latin1'));
  });
  const slow = gateway.call({ path: '/a/slow' });
  await gateway.call({ path: '/a/invalid', headers: { 'x-wait': '300' } }).catch(() => undefined);
  expect((await slow).body).toBe('valid');
  expect((await gateway.call()).body).toBe('valid');
});

// Guards against a fault in the code that handles a response: it ends that exchange and is counted.
test('a fault in the handling of a response ends its exchange alone', async () => {
  const gateway = await startWithInvalidUpstream(({ id, socket }) => {
    socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's', 'x-fault': '1' }, 'no'));
  });
  const reply = await gateway.call({ path: '/a/invalid', headers: { 'x-wait': '1000' } });
  expect(reply.status).toBe(502);
  expect((await gateway.call()).body).toBe('valid');
  expect(await gateway.metrics.render()).toContain(
    'goldcrest_gateway_faults_total{part="upstream response"} 1',
  );
});

// Guards against a fault while the head of a request is decoded, which nobody awaited.
test('a fault in the decoding of a request ends its exchange alone', async () => {
  const gateway = await startGateway({ upstreams: [respondValidly] });
  await expect(gateway.call({ headers: { 'x-fault': '1' } })).rejects.toThrow();
  expect((await gateway.call()).body).toBe('valid');
  expect(await gateway.metrics.render()).toContain(
    'goldcrest_gateway_faults_total{part="caller request"} 1',
  );
});
