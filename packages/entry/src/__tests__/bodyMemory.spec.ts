import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterAll, beforeAll, expect, test, vi } from 'vitest';
import { API_KEY, startHarness } from './entryHarness.js';
import type { Harness } from './entryHarness.js';
import { FakeUpstream } from './fakeUpstream.js';

const BODY = JSON.stringify({ model: 'small', prompt: 'p', stream: true });

let engine: FakeUpstream;
let harness: Harness;

beforeAll(async () => {
  engine = await new FakeUpstream().listen();
  // Room for one body, but not for two.
  harness = await startHarness({ upstreams: [engine], bufferBytes: BODY.length + 1 });
});

afterAll(async () => {
  await harness.close();
  await engine.close();
});

interface RawCaller {
  readonly socket: Socket;
  readonly waitFor: (text: string) => Promise<unknown>;
}

/** Sends a head and all of the body but its last byte. */
const sendMostOfBody = (): RawCaller => {
  const socket = connect(Number(new URL(harness.baseUrl).port), '127.0.0.1');
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString();
  });
  socket.on('error', () => undefined);
  socket.write(
    `POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer ${API_KEY}\r\n` +
      `content-length: ${BODY.length}\r\n\r\n${BODY.slice(0, -1)}`,
  );
  return { socket, waitFor: (text) => vi.waitUntil(() => received.includes(text)) };
};

// Guards against a process that is killed because many callers sent bodies at the same time.
test('a body for which there is no memory is refused before it is complete', async () => {
  const first = sendMostOfBody();
  await vi.waitUntil(() => harness.budget.heldBytes === BODY.length);
  const second = sendMostOfBody();
  await second.waitFor('memory_full');
  await second.waitFor(' 503 ');
  first.socket.write(BODY.slice(-1));
  await first.waitFor(' 200 ');
  expect(engine.calls).toHaveLength(1);
  second.socket.destroy();
  await vi.waitUntil(() => harness.budget.heldBytes === 0);
  first.socket.destroy();
  const leaving = sendMostOfBody();
  await vi.waitUntil(() => harness.budget.heldBytes === BODY.length);
  leaving.socket.destroy();
  await vi.waitUntil(() => harness.budget.heldBytes === 0);
});
