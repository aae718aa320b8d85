import type { Socket } from 'node:net';
import { expect, test, vi } from 'vitest';
import { buildChunk, buildHead } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

const STREAM_HEADERS = { 'x-sig': 's', 'transfer-encoding': 'chunked' };

const TIMEOUT_MS = 8_000;

/** A response that has no end must end well before its deadline. */
const MAX_ELAPSED_MS = TIMEOUT_MS / 2;

const MAX_EXTRA_MEMORY_BYTES = 64 * 1024 * 1024;

/** Repeats a text on a connection until the gateway closes it. */
const repeat = (socket: Socket, start: string, text: string): void => {
  socket.write(start);
  const write = (): void => {
    if (socket.destroyed) return;
    if (socket.write(text)) setImmediate(write);
    else socket.once('drain', () => setImmediate(write));
  };
  write();
};

const FILLER = 'x'.repeat(64 * 1024);

interface EndlessCase {
  readonly name: string;
  readonly route: { readonly streaming: boolean; readonly resumable?: boolean };
  readonly respond: (request: TestRequest) => void;
}

const cases: readonly EndlessCase[] = [
  {
    name: 'head',
    route: { streaming: false },
    respond: ({ socket }) => repeat(socket, 'HTTP/1.1 200 OK\r\n', `x-filler: ${FILLER}\r\n`),
  },
  {
    name: 'series of informational heads',
    route: { streaming: false },
    respond: ({ socket }) => repeat(socket, '', 'HTTP/1.1 102 Processing\r\n\r\n'),
  },
  {
    name: 'error body',
    route: { streaming: false },
    respond: ({ id, socket }) =>
      repeat(
        socket,
        buildHead(500, { 'x-id': id, 'x-sig': 's', 'transfer-encoding': 'chunked' }),
        buildChunk(FILLER),
      ),
  },
  {
    name: 'body',
    route: { streaming: false },
    respond: ({ id, socket }) =>
      repeat(socket, buildHead(200, { 'x-id': id, ...STREAM_HEADERS }), buildChunk(FILLER)),
  },
  {
    name: 'event',
    route: { streaming: true },
    respond: ({ id, socket }) =>
      repeat(socket, buildHead(200, { 'x-id': id, ...STREAM_HEADERS }), buildChunk(FILLER)),
  },
  {
    name: 'event of a resumable stream',
    route: { streaming: true, resumable: true },
    respond: ({ id, socket }) =>
      repeat(socket, buildHead(200, { 'x-id': id, ...STREAM_HEADERS }), buildChunk(FILLER)),
  },
];

const namedCases = cases.map((endless) => [endless.name, endless] as const);

// Guards against an upstream that never ends its response and fills the memory of the VM until the deadline.
test.each(namedCases)('an endless %s ends early and counts as a failure', async (_, endless) => {
  const closed: number[] = [];
  const respond = (request: TestRequest): void => {
    const startedAtMs = performance.now();
    request.socket.once('close', () => closed.push(performance.now() - startedAtMs));
    endless.respond(request);
  };
  const { call, fleetState } = await startGateway({
    route: { ...endless.route, idempotent: false, maxUpstreams: 1, timeoutMs: TIMEOUT_MS },
    upstreams: [respond],
  });
  const recordOutcome = vi.spyOn(fleetState.ejection, 'recordOutcome');
  const memoryBefore = process.memoryUsage().arrayBuffers;
  let peakBytes = 0;
  const sampler = setInterval(() => {
    peakBytes = Math.max(peakBytes, process.memoryUsage().arrayBuffers - memoryBefore);
  }, 5);
  const startedAtMs = performance.now();
  const reply = await call();
  clearInterval(sampler);
  expect(performance.now() - startedAtMs).toBeLessThan(MAX_ELAPSED_MS);
  expect(reply.status === 502 || !reply.isWhole).toBe(true);
  expect(peakBytes).toBeLessThan(MAX_EXTRA_MEMORY_BYTES + 2 * Buffer.byteLength(reply.body));
  await expect.poll(() => closed).toHaveLength(1);
  expect(recordOutcome.mock.calls.at(-1)?.[1]).toBe('failure');
});
