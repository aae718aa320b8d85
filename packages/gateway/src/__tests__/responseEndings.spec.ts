import { connect } from 'node:net';
import { expect, test, vi } from 'vitest';
import { buildChunk, buildHead, buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';
import type { CallerReply } from './gatewayHarness.js';

type Framing = 'length' | 'chunks' | 'connection';

/** How an upstream ends its response: completely, or in the middle of its body. */
type Ending = 'complete' | 'closed' | 'reset' | 'silent';

type Kind = 'plain response' | 'stream' | 'resumable stream';

/** What the caller gets. */
type Outcome = 'whole' | 'received part' | 'status 502' | 'status 504' | 'cut connection';

const EVENTS = [1, 2, 3].map((id) => `id: ${id}\ndata: ${'x'.repeat(20)}\n\n`);

const BODY = EVENTS.join('');

/** In the middle of the second event. */
const RECEIVED_PART = BODY.slice(0, EVENTS[0]!.length + 9);

const ROUTES = {
  'plain response': { idempotent: false, maxUpstreams: 1 },
  stream: { streaming: true, idempotent: false, maxUpstreams: 1 },
  'resumable stream': { streaming: true, resumable: true, maxUpstreams: 2 },
} as const;

const FRAMING_HEADERS = {
  length: { 'content-length': String(BODY.length) },
  chunks: { 'transfer-encoding': 'chunked' },
  connection: { connection: 'close' },
} as const;

const RESET_DELAY_MS = 30;

const createResponder =
  (framing: Framing, ending: Ending) =>
  ({ id, socket }: TestRequest): void => {
    const head = buildHead(200, { 'x-id': id, 'x-sig': 's', ...FRAMING_HEADERS[framing] });
    const sent = ending === 'complete' ? BODY : RECEIVED_PART;
    socket.write(head + (framing === 'chunks' ? buildChunk(sent) : sent));
    if (ending === 'complete' && framing === 'chunks') socket.write('0\r\n\r\n');
    if (ending === 'complete' && framing === 'connection') socket.end();
    if (ending === 'closed') socket.end();
    if (ending === 'reset') setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
  };

/** Resumes the stream after its first event. */
const resume = ({ id, head, socket }: TestRequest): void => {
  expect(head).toMatch(/last-event-id: 1/i);
  const rest = EVENTS.slice(1).join('');
  socket.write(
    buildHead(200, { 'x-id': id, 'x-sig': 's', 'content-length': String(rest.length) }) + rest,
  );
};

const describeReply = ({ status, body, isWhole }: CallerReply): string => {
  if (status !== 200) return `status ${status}`;
  if (!isWhole) return 'cut connection';
  if (body === BODY) return 'whole';
  return body === RECEIVED_PART ? 'received part' : `complete with ${body.length} bytes`;
};

const cases: readonly (readonly [Kind, Framing, Ending, Outcome])[] = [
  ['plain response', 'length', 'complete', 'whole'],
  ['plain response', 'length', 'closed', 'status 502'],
  ['plain response', 'length', 'reset', 'status 502'],
  ['plain response', 'length', 'silent', 'status 504'],
  ['plain response', 'chunks', 'complete', 'whole'],
  ['plain response', 'chunks', 'closed', 'status 502'],
  ['plain response', 'chunks', 'reset', 'status 502'],
  ['plain response', 'chunks', 'silent', 'status 504'],
  ['plain response', 'connection', 'complete', 'whole'],
  // Nothing but its end marks this response; the caller is told no more than was received.
  ['plain response', 'connection', 'closed', 'received part'],
  ['plain response', 'connection', 'reset', 'status 502'],
  ['plain response', 'connection', 'silent', 'status 504'],
  ['stream', 'length', 'complete', 'whole'],
  ['stream', 'length', 'closed', 'cut connection'],
  ['stream', 'length', 'reset', 'cut connection'],
  ['stream', 'length', 'silent', 'cut connection'],
  ['stream', 'chunks', 'complete', 'whole'],
  ['stream', 'chunks', 'closed', 'cut connection'],
  ['stream', 'chunks', 'reset', 'cut connection'],
  ['stream', 'chunks', 'silent', 'cut connection'],
  ['stream', 'connection', 'complete', 'whole'],
  ['stream', 'connection', 'closed', 'cut connection'],
  ['stream', 'connection', 'reset', 'cut connection'],
  ['stream', 'connection', 'silent', 'cut connection'],
  ['resumable stream', 'length', 'complete', 'whole'],
  ['resumable stream', 'length', 'closed', 'whole'],
  ['resumable stream', 'length', 'reset', 'whole'],
  ['resumable stream', 'length', 'silent', 'cut connection'],
  ['resumable stream', 'chunks', 'complete', 'whole'],
  ['resumable stream', 'chunks', 'closed', 'whole'],
  ['resumable stream', 'chunks', 'reset', 'whole'],
  ['resumable stream', 'chunks', 'silent', 'cut connection'],
  ['resumable stream', 'connection', 'complete', 'whole'],
  ['resumable stream', 'connection', 'closed', 'whole'],
  ['resumable stream', 'connection', 'reset', 'whole'],
  ['resumable stream', 'connection', 'silent', 'cut connection'],
];

// Guards against a response that its upstream broke off and that reaches the caller as a complete one.
test.each(cases)('%s delimited by %s that ends %s: %s', async (kind, framing, ending, outcome) => {
  const isSilent = ending === 'silent';
  const respond = createResponder(framing, ending);
  let requests = 0;
  const serve = (request: TestRequest): void => {
    requests += 1;
    if (requests === 1) respond(request);
    else resume(request);
  };
  const { call } = await startGateway({
    route: { ...ROUTES[kind], timeoutMs: isSilent ? 200 : 2_000 },
    upstreams: [serve, serve],
  });
  expect(describeReply(await call())).toBe(outcome);
});

// Guards against an engine that crashes before its first event and whose stream is taken for an empty one.
test('a stream that its connection ends before the first event is resumed elsewhere', async () => {
  let requests = 0;
  const serve = (request: TestRequest): void => {
    requests += 1;
    if (requests > 1) createResponder('length', 'complete')(request);
    else request.socket.end(buildHead(200, { 'x-id': request.id, 'x-sig': 's' }));
  };
  const { call } = await startGateway({
    route: ROUTES['resumable stream'],
    upstreams: [serve, serve],
  });
  expect(describeReply(await call())).toBe('whole');
});

test('a response of another type on a streaming route needs no events', async () => {
  const body = '{"done":true}';
  const serve = ({ id, socket }: TestRequest): void => {
    const headers = { 'x-id': id, 'x-sig': 's', 'content-type': 'application/json' };
    socket.end(buildHead(200, headers) + body);
  };
  const { call } = await startGateway({ route: ROUTES.stream, upstreams: [serve] });
  expect(await call()).toMatchObject({ status: 200, body, isWhole: true });
});

// Guards against a correct response that is taken for complete although it was cut at some byte.
test.each(['length', 'chunks', 'connection'] as const)(
  'a stream delimited by %s and cut at any byte is complete only after an event',
  async (framing) => {
    const head = (id: string): string =>
      buildHead(200, { 'x-id': id, 'x-sig': 's', ...FRAMING_HEADERS[framing] });
    const body = framing === 'chunks' ? `${EVENTS.map(buildChunk).join('')}0\r\n\r\n` : BODY;
    const eventEnds = [1, 2, 3].map((count) => EVENTS.slice(0, count).join('').length);
    const completeCuts = framing === 'connection' ? eventEnds : [body.length];
    let cut = 0;
    const serve = ({ id, socket }: TestRequest): void => {
      socket.end(head(id) + body.slice(0, cut));
    };
    const { call } = await startGateway({ route: ROUTES.stream, upstreams: [serve] });
    const found: number[] = [];
    for (; cut <= body.length; cut += 1) {
      const reply = await call();
      if (reply.isWhole && reply.status === 200) found.push(cut);
    }
    expect(found).toEqual(completeCuts);
  },
);

// Guards against the body of a refusal that is appended to a broken stream and completes it.
test.each([400, 404, 200])('a resumption that gets a plain %i cuts the stream', async (status) => {
  let requests = 0;
  const serve = (request: TestRequest): void => {
    requests += 1;
    const { id, socket } = request;
    if (requests === 1) {
      createResponder('chunks', 'closed')(request);
      return;
    }
    const type = { 'content-type': 'application/json' };
    socket.write(buildResponse(status, { 'x-id': id, 'x-sig': 's', ...type }, '{"done":true}'));
  };
  const { call } = await startGateway({
    route: ROUTES['resumable stream'],
    upstreams: [serve, serve],
  });
  const reply = await call();
  expect(reply).toMatchObject({ isWhole: false, body: EVENTS[0] });
});

/** Sends an HTTP/1.0 request and returns how its connection ended. */
const sendOldRequest = (port: number): Promise<string> =>
  new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    socket.once('end', () => resolve('closed'));
    socket.once('error', () => resolve('reset'));
    socket.resume();
    socket.write('POST /a/1 HTTP/1.0\r\nhost: site.example\r\nx-id: old\r\n\r\n');
  });

// Guards against a broken stream whose only end for an HTTP/1.0 caller is a regular close.
test('a broken stream resets the connection of a caller that gets no chunks', async () => {
  let ending: Ending = 'complete';
  const serve = (request: TestRequest): void => createResponder('chunks', ending)(request);
  const { port } = await startGateway({ route: ROUTES.stream, upstreams: [serve] });
  expect(await sendOldRequest(port)).toBe('closed');
  ending = 'closed';
  expect(await sendOldRequest(port)).toBe('reset');
});

// Guards against a broken response whose head alone counts as a success of the upstream.
test.each(['length', 'chunks', 'connection'] as const)(
  'a stream delimited by %s that closes early counts as a failure only',
  async (framing) => {
    const { call, fleetState } = await startGateway({
      route: ROUTES.stream,
      upstreams: [createResponder(framing, 'closed')],
    });
    const recordOutcome = vi.spyOn(fleetState.ejection, 'recordOutcome');
    await call();
    expect(recordOutcome.mock.calls.map(([, outcome]) => outcome)).toEqual(['failure']);
  },
);
