import { expect, test, vi } from 'vitest';
import type { ClientAccountId } from '@goldcrestscale/core';
import { toId } from '@goldcrestscale/core';
import { buildChunk, buildHead } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';
import type { HarnessOptions } from './gatewayHarness.js';

const VERSIONS = ['v1', 'v2', 'v1', 'v2', 'v1', 'v2'] as const;

const STREAMS = 20;

const ROUTE = { streaming: true, resumable: true, idempotent: true, maxUpstreams: 3 } as const;

const buildEvent = (id: number, version: string): string =>
  `id: ${id}\ndata: written by ${version}\n\n`;

const startStream = ({ id, socket }: TestRequest, version: string): void => {
  const headers = { 'x-id': id, 'x-sig': 's', 'content-type': 'text/event-stream' };
  socket.write(buildHead(200, { ...headers, 'transfer-encoding': 'chunked' }));
  socket.write(buildChunk(buildEvent(1, version)));
};

const finishStream = ({ id, socket }: TestRequest, version: string): void => {
  const headers = { 'x-id': id, 'x-sig': 's', 'content-type': 'text/event-stream' };
  socket.write(buildHead(200, { ...headers, 'transfer-encoding': 'chunked' }));
  socket.write(`${buildChunk(buildEvent(2, version))}0\r\n\r\n`);
};

const isResumption = ({ head }: TestRequest): boolean => /last-event-id: 1/i.test(head);

type RequestHandler = (request: TestRequest, version: string) => void;

/** Starts a gateway with upstreams of several versions. */
const startVersions = (
  versions: readonly string[],
  begin: RequestHandler,
  options: Partial<HarnessOptions> = {},
) =>
  startGateway({
    route: ROUTE,
    versions,
    upstreams: versions.map(
      (version) => (request) => (isResumption(request) ? finishStream : begin)(request, version),
    ),
    ...options,
  });

const listVersions = (text: string): readonly string[] => [
  ...new Set([...text.matchAll(/written by (\S+)/g)].map(([, version]) => version!)),
];

// Guards against a stream that the gateway joins from two versions after an upstream was lost.
test('a broken stream is resumed at the version that began it', async () => {
  const { call } = await startVersions(VERSIONS, (request, version) => {
    startStream(request, version);
    setTimeout(() => request.socket.destroy(), 20);
  });
  const replies = await Promise.all(Array.from({ length: STREAMS }, () => call()));
  const whole = replies.filter(({ isWhole }) => isWhole);
  expect(whole.length).toBeGreaterThan(STREAMS / 2);
  expect(whole.filter(({ body }) => listVersions(body).length !== 1)).toEqual([]);
});

/** Begins streams, leaves after their first events, and takes them up again. */
const takeUpStreams = async (
  { call, upstreams }: Awaited<ReturnType<typeof startGateway>>,
  taking: Awaited<ReturnType<typeof startGateway>>,
) => {
  const begin = async (id: string): Promise<readonly string[]> => {
    const controller = new AbortController();
    const reply = call({ headers: { 'x-id': id }, signal: controller.signal });
    const listReceived = () => upstreams.flatMap(({ received }) => received);
    await vi.waitFor(() => expect(listReceived().some((one) => one.id === id)).toBe(true));
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    controller.abort();
    await reply.catch(() => undefined);
    const index = upstreams.findIndex(({ received }) => received.some((one) => one.id === id));
    return [VERSIONS[index]!];
  };
  const ids = Array.from({ length: STREAMS }, (_, index) => `first-${index}`);
  const begun = await Promise.all(ids.map(begin));
  const replies = await Promise.all(
    ids.map((id) => taking.call({ headers: { 'x-last': '1', 'x-resumes': id } })),
  );
  return { begun, replies };
};

// Guards against a stream that is joined from two versions when its caller takes it up again.
test('a stream that is taken up again goes on at the version that began it', async () => {
  const gateway = await startVersions(VERSIONS, startStream);
  const { begun, replies } = await takeUpStreams(gateway, gateway);
  expect(replies.map(({ status }) => status)).toEqual(replies.map(() => 200));
  expect(replies.map(({ body }) => listVersions(body))).toEqual(begun);
});

// Guards against a VM that guesses the version of a stream that another one began.
test('a stream of unknown origin is refused while several versions serve', async () => {
  const gateway = await startVersions(VERSIONS, startStream);
  const other = await startVersions(VERSIONS, startStream);
  const { replies } = await takeUpStreams(gateway, other);
  expect(replies.map(({ status }) => status)).toEqual(replies.map(() => 503));
  expect(replies.every(({ headers }) => Number(headers['retry-after']) > 0)).toBe(true);
  expect(other.upstreams.flatMap(({ received }) => received)).toEqual([]);
});

// Guards against refusals where a single version may have begun a stream.
test('a stream of unknown origin goes on while one version serves', async () => {
  const { call } = await startVersions(['v1', 'v1'], startStream);
  const reply = await call({ headers: { 'x-last': '1', 'x-resumes': 'unknown' } });
  expect(reply.status).toBe(200);
  expect(listVersions(reply.body)).toEqual(['v1']);
});

// Guards against a caller that learns of another account's streams.
test('a stream of another account is of unknown origin', async () => {
  const accounts = ['one', 'two'].map((name) => ({
    id: toId<ClientAccountId>(name),
    keys: [`key of ${name}`],
    priority: undefined,
    isolated: false,
    regions: [],
  }));
  const { call } = await startVersions(VERSIONS, finishStream, {
    route: { ...ROUTE, anonymous: false },
    accounts,
  });
  const takeUp = (key: string) =>
    call({ headers: { 'x-key': key, 'x-last': '1', 'x-resumes': 'first' } });
  const first = await call({ headers: { 'x-key': 'key of one', 'x-id': 'first' } });
  expect(first.status).toBe(200);
  expect((await takeUp('key of two')).status).toBe(503);
  const own = await takeUp('key of one');
  expect(listVersions(own.body)).toEqual(listVersions(first.body));
});
