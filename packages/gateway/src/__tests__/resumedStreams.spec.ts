import { expect, test } from 'vitest';
import { buildChunk, buildHead, buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';
import type { CallerReply } from './gatewayHarness.js';

const EVENTS = [1, 2, 3, 4].map((id) => `id: ${id}\ndata: ${'x'.repeat(20)}\n\n`);

const BROKEN_AFTER = EVENTS.slice(0, 2).join('');

const PARTIAL_EVENT = EVENTS[2]!.slice(0, 9);

const STREAM_TYPE = { 'content-type': 'text/event-stream' };

const CHUNKS = { 'transfer-encoding': 'chunked' };

const RESET_DELAY_MS = 30;

/** Text that would look like a part of a stream, or like the head of a response. */
const OTHER_BODIES = [
  'the server failed',
  'id: 9\ndata: the server failed\n\n',
  'HTTP/1.1 500 Internal Server Error\r\ncontent-length: 2\r\n\r\nno',
  '',
];

type Answer = (request: TestRequest) => string;

const answerWhole =
  (status: number, headers: Readonly<Record<string, string>>, body: string): Answer =>
  ({ id }) =>
    buildResponse(status, { 'x-id': id, 'x-sig': 's', ...headers }, body);

const answerChunks =
  (status: number, headers: Readonly<Record<string, string>>, chunks: readonly string[]): Answer =>
  ({ id }) =>
    `${buildHead(status, { 'x-id': id, 'x-sig': 's', ...CHUNKS, ...headers })}${chunks.map(buildChunk).join('')}0\r\n\r\n`;

const FAILURE_STATUSES = [204, 206, 301, 304, 400, 404, 408, 421, 429, 500, 502, 503, 504];

const answers: readonly (readonly [string, Answer])[] = [
  ...FAILURE_STATUSES.flatMap((status) =>
    OTHER_BODIES.flatMap((body, index) => [
      [`status ${status}, body ${index}`, answerWhole(status, {}, body)] as const,
      [
        `status ${status} as a stream, body ${index}`,
        answerWhole(status, STREAM_TYPE, body),
      ] as const,
    ]),
  ),
  ...OTHER_BODIES.slice(0, 3).map(
    (body, index) =>
      [
        `plain text, body ${index}`,
        answerWhole(200, { 'content-type': 'text/plain' }, body),
      ] as const,
  ),
  ['stream without an event', answerWhole(200, STREAM_TYPE, '')],
  ['chunked stream without an event', answerChunks(200, STREAM_TYPE, [])],
  ['stream with half an event', answerWhole(200, STREAM_TYPE, PARTIAL_EVENT)],
  ['unsigned stream', ({ id }) => buildResponse(200, { 'x-id': id, ...STREAM_TYPE }, EVENTS[2]!)],
  [
    'stream of another request',
    () => buildResponse(200, { 'x-id': 'other', 'x-sig': 's', ...STREAM_TYPE }, EVENTS[2]!),
  ],
  ['refusal', ({ id }) => buildResponse(503, { 'x-id': id, 'x-not-run': '1' }, 'busy\n\n')],
  ['status 000', ({ id }) => `HTTP/1.1 000 Unknown\r\nx-id: ${id}\r\ncontent-length: 0\r\n\r\n`],
  ['no HTTP', () => 'id: 3\ndata: no head\n\n'],
  [
    'informational head and error',
    (request) => `HTTP/1.1 103 Hints\r\n\r\n${answerWhole(500, {}, 'no')(request)}`,
  ],
];

/** Breaks a stream inside its third event, and answers every resumption in the same way. */
const requestBrokenStream = async (
  route: { readonly resumable: boolean },
  answer: Answer,
): Promise<CallerReply> => {
  const serve = (request: TestRequest): void => {
    if (/last-event-id/i.test(request.head)) {
      request.socket.write(answer(request));
      return;
    }
    const head = buildHead(200, { 'x-id': request.id, 'x-sig': 's', ...STREAM_TYPE, ...CHUNKS });
    request.socket.write(head + buildChunk(BROKEN_AFTER + PARTIAL_EVENT));
    setTimeout(() => request.socket.resetAndDestroy(), RESET_DELAY_MS);
  };
  const { call } = await startGateway({
    route: { streaming: true, maxUpstreams: 3, idempotent: route.resumable, ...route },
    upstreams: [serve, serve, serve],
  });
  return call({ headers: { 'x-wait': '1500' } });
};

// Guards against an answer to a resumption that is taken for a part, or for the end, of the stream.
test.each(answers)(
  'a broken stream is not continued by an answer that is none: %s',
  async (_, answer) => {
    const { status, body, isWhole } = await requestBrokenStream({ resumable: true }, answer);
    expect(status).toBe(200);
    expect(body).toBe(BROKEN_AFTER);
    expect(isWhole).toBe(false);
  },
);

// Guards against the opposite: the answer that continues the stream must still do so.
test.each([
  ['with a length', answerWhole(200, STREAM_TYPE, EVENTS.slice(2).join(''))],
  ['in chunks', answerChunks(200, STREAM_TYPE, EVENTS.slice(2))],
  ['that repeats an event', answerChunks(200, STREAM_TYPE, EVENTS.slice(1))],
] as const)('a broken stream is continued by a stream %s', async (_, answer) => {
  const { body, isWhole } = await requestBrokenStream({ resumable: true }, answer);
  expect(body).toBe(EVENTS.join(''));
  expect(isWhole).toBe(true);
});

// Guards against a stream that may not be resumed and is continued by a second run.
test('a broken stream that may not be resumed stays broken', async () => {
  const answer = answerWhole(200, STREAM_TYPE, EVENTS.slice(2).join(''));
  const { body, isWhole } = await requestBrokenStream({ resumable: false }, answer);
  expect(body).toBe(BROKEN_AFTER + PARTIAL_EVENT);
  expect(isWhole).toBe(false);
});
