import { expect, onTestFinished, test } from 'vitest';
import { buildChunk, buildHead } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

const EVENT = 'id: 1\ndata: x\n\n';

const startStream = ({ id, socket }: TestRequest): void => {
  socket.write(buildHead(200, { 'x-id': id, 'x-sig': 's', 'transfer-encoding': 'chunked' }));
};

/** Writes texts one after the other, at an interval, and ends the stream behind the last one. */
const writeSlowly = (request: TestRequest, texts: readonly string[], intervalMs: number): void => {
  startStream(request);
  let index = 0;
  const timer = setInterval(() => {
    if (index < texts.length) request.socket.write(buildChunk(texts[index]!));
    else request.socket.write('0\r\n\r\n');
    index += 1;
    if (index > texts.length) clearInterval(timer);
  }, intervalMs);
  onTestFinished(() => clearInterval(timer));
};

const ROUTE = { streaming: true, idempotent: false, maxUpstreams: 1 } as const;

// Guards against a stream that stands still and is kept for ever by a byte now and then.
test.each([':', '\n', 'x'])('a stream that sends only %j now and then is cut', async (text) => {
  const { call } = await startGateway({
    route: { ...ROUTE, timeoutMs: 400 },
    upstreams: [(request) => writeSlowly(request, [EVENT, ...Array<string>(1_000).fill(text)], 20)],
  });
  expect(await call()).toMatchObject({ status: 200, isWhole: false });
});

// Guards against the opposite: a slow stream that is sound must not be cut before its deadline.
test('a stream whose events come far apart is whole', async () => {
  const { call } = await startGateway({
    route: { ...ROUTE, timeoutMs: 8_000, objectiveMs: 100, gapObjectiveMs: 20 },
    upstreams: [(request) => writeSlowly(request, Array<string>(6).fill(EVENT), 300)],
  });
  expect(await call()).toMatchObject({ status: 200, body: EVENT.repeat(6), isWhole: true });
});
