import fc from 'fast-check';
import { expect, test, vi } from 'vitest';
import { buildChunk, buildHead } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';
import { buildRequestHead, connectRawCaller } from './rawCaller.js';

const STREAM_HEADERS = { 'x-sig': 's', 'transfer-encoding': 'chunked' };

const TIMEOUT_MS = 8_000;

const startStream = ({ id, socket }: TestRequest): void => {
  socket.write(buildHead(200, { 'x-id': id, ...STREAM_HEADERS }));
};

const repeat = ({ socket }: TestRequest, text: string): void => {
  const write = (): void => {
    if (socket.destroyed) return;
    if (socket.write(text)) setImmediate(write);
    else socket.once('drain', () => setImmediate(write));
  };
  write();
};

const buildEvents = (sizes: readonly number[]): string =>
  sizes.map((size, index) => `id: ${index}\ndata: ${'x'.repeat(size)}\n\n`).join('');

/** Cuts a text into chunks of these sizes, which are repeated. */
const cutText = (text: string, sizes: readonly number[]): readonly string[] => {
  const parts: string[] = [];
  for (let start = 0; start < text.length; start += parts.at(-1)!.length) {
    parts.push(text.slice(start, start + sizes[parts.length % sizes.length]!));
  }
  return parts;
};

type Ending = 'complete' | 'cut' | 'silent';

// Guards against bytes that are lost or swapped where small parts are joined, and memory that is never given back.
test('events come out as they came in, whatever their chunks, and leave no memory held', async () => {
  let chunks: readonly string[] = [];
  let ending: Ending = 'complete';
  const { call, budget } = await startGateway({
    route: { streaming: true, resumable: true, idempotent: true, maxUpstreams: 1 },
    upstreams: [
      (request) => {
        startStream(request);
        const { socket } = request;
        chunks.forEach((chunk) => socket.write(buildChunk(chunk)));
        if (ending === 'complete') socket.write('0\r\n\r\n');
        if (ending === 'cut') socket.end();
      },
    ],
    bufferBytes: 1_000_000,
  });
  const property = fc.asyncProperty(
    fc.array(fc.integer({ min: 0, max: 2_000 }), { minLength: 1, maxLength: 12 }),
    fc.array(fc.integer({ min: 1, max: 300 }), { minLength: 1, maxLength: 8 }),
    fc.constantFrom<Ending>('complete', 'cut', 'silent'),
    fc.integer({ min: 0, max: 40 }),
    async (eventSizes, chunkSizes, nextEnding, missingBytes) => {
      ending = nextEnding;
      const text = buildEvents(eventSizes);
      const sent = ending === 'complete' ? text : text.slice(0, text.length - missingBytes);
      chunks = cutText(sent, chunkSizes);
      const controller = new AbortController();
      const reply = call({ signal: controller.signal }).catch(() => undefined);
      if (ending === 'silent') setTimeout(() => controller.abort(), 20);
      const answer = await reply;
      if (ending === 'complete') expect(answer).toMatchObject({ body: text, isWhole: true });
      else if (answer?.status === 200) {
        expect(answer.isWhole).toBe(false);
        expect(text.startsWith(answer.body)).toBe(true);
        expect(answer.body === '' || answer.body.endsWith('\n\n')).toBe(true);
      }
      await vi.waitUntil(() => budget.heldBytes === 0, { timeout: 3_000, interval: 2 });
    },
  );
  await fc.assert(property, { numRuns: 60 });
}, 60_000);

const SMALL_CHUNKS = '1\r\nx\r\n'.repeat(1_000);

const SMALL_EVENTS = Array.from('data: x\n\n', (byte) => buildChunk(byte))
  .join('')
  .repeat(200);

interface FaultyResponse {
  readonly name: string;
  readonly reason: string;
  readonly route: { readonly streaming: boolean; readonly resumable?: boolean };
  readonly respond: (request: TestRequest) => void;
}

const startAndRepeat =
  (text: string) =>
  (request: TestRequest): void => {
    startStream(request);
    repeat(request, text);
  };

const stream = { streaming: true, resumable: true };

const faultyResponses: readonly FaultyResponse[] = [
  {
    name: 'body in one-byte chunks',
    reason: 'part_size',
    route: { streaming: false },
    respond: startAndRepeat(SMALL_CHUNKS),
  },
  {
    name: 'event in one-byte chunks',
    reason: 'part_size',
    route: stream,
    respond: startAndRepeat(SMALL_CHUNKS),
  },
  {
    name: 'series of events in one-byte chunks',
    reason: 'part_size',
    route: stream,
    respond: startAndRepeat(SMALL_EVENTS),
  },
];

const namedResponses = faultyResponses.map((faulty) => [faulty.name, faulty] as const);

// Guards against an upstream that keeps the processor from all others until the deadline, and counts as sound.
test.each(namedResponses)('an endless %s is given up early, with its reason', async (_, faulty) => {
  const { call, fleetState, metrics, budget } = await startGateway({
    route: { ...faulty.route, idempotent: false, maxUpstreams: 1, timeoutMs: TIMEOUT_MS },
    upstreams: [faulty.respond],
  });
  const recordOutcome = vi.spyOn(fleetState.ejection, 'recordOutcome');
  const startedAtMs = performance.now();
  const reply = await call();
  expect(reply.status === 502 || !reply.isWhole).toBe(true);
  expect(performance.now() - startedAtMs).toBeLessThan(TIMEOUT_MS / 2);
  expect(recordOutcome.mock.calls.at(-1)?.[1]).toBe('failure');
  const counter = `goldcrest_gateway_abandoned_answers_total{reason="${faulty.reason}"} 1`;
  expect(await metrics.render()).toContain(counter);
  expect(budget.heldBytes).toBe(0);
});

// Guards against a process that is killed because many upstreams stop inside of large events.
test('an event for which there is no memory ends its stream', async () => {
  const { call, metrics, budget } = await startGateway({
    route: { ...stream, idempotent: false, maxUpstreams: 1 },
    upstreams: [
      (request) => {
        startStream(request);
        request.socket.write(buildChunk('x'.repeat(5_000)));
      },
    ],
    bufferBytes: 1_000,
  });
  expect((await call()).isWhole).toBe(false);
  expect(await metrics.render()).toContain('abandoned_answers_total{reason="memory"} 1');
  expect(budget.heldBytes).toBe(0);
});

const LARGE_EVENTS = buildEvents(Array.from({ length: 150_000 }, () => 90));

// Guards against a response that is read on, part by part, while its caller reads nothing.
test('an upstream is not read while the caller is not, and loses nothing', async () => {
  const chunks = cutText(LARGE_EVENTS, [110]).map(buildChunk).join('');
  const { port, upstreams } = await startGateway({
    route: { ...stream, timeoutMs: 30_000 },
    upstreams: [
      (request) => {
        startStream(request);
        request.socket.write(`${chunks}0\r\n\r\n`);
      },
    ],
  });
  const caller = connectRawCaller(port);
  caller.socket.pause();
  caller.socket.write(buildRequestHead('unread', 'content-length: 0'));
  await vi.waitUntil(() => upstreams[0]!.received.length === 1);
  const { socket } = upstreams[0]!.received[0]!;
  const countSent = (): number => socket.bytesWritten - socket.writableLength;
  let sentBytes = -1;
  await vi.waitUntil(
    () => {
      const isStill = countSent() === sentBytes;
      sentBytes = countSent();
      return isStill;
    },
    { timeout: 10_000, interval: 500 },
  );
  expect(sentBytes).toBeLessThan(chunks.length);
  caller.socket.resume();
  await caller.waitFor('0\r\n\r\n');
  const body = caller.read().slice(caller.read().indexOf('\r\n\r\n') + 4);
  const received = body.replace(/(^|\r\n)[0-9a-f]+\r\n/g, '').replace(/\r\n$/, '');
  expect(received.replace(/\r\n/g, '') === LARGE_EVENTS).toBe(true);
}, 40_000);
