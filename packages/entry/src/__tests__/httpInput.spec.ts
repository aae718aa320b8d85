import { connect } from 'node:net';
import fc from 'fast-check';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { isGoldcrestError } from '@goldcrestscale/core';
import { MAX_REQUEST_BODY_BYTES } from '../constants.js';
import { parseTarget } from '../http/parseTarget.js';
import { API_KEY, startHarness } from './entryHarness.js';
import type { Harness } from './entryHarness.js';
import { FakeUpstream } from './fakeUpstream.js';

let engine: FakeUpstream;
let harness: Harness;

beforeAll(async () => {
  engine = await new FakeUpstream().listen();
  harness = await startHarness({ upstreams: [engine] });
});

afterAll(async () => {
  await harness.close();
  await engine.close();
});

const PATHS = ['/v1/completions', '/v1/chat/completions', '/v1/services/tickets/x', '/other'];

const isParsedOrRefused = (action: () => unknown): boolean => {
  try {
    action();
    return true;
  } catch (error) {
    return isGoldcrestError(error) && error.status < 500 && error.verdict === 'not-run';
  }
};

const parseUnchecked = (body: Buffer): unknown =>
  (JSON.parse(body.toString()) as { messages: { content: string }[] }).messages[0]!.content;

const arbitraryBody = fc.oneof(
  fc.json(),
  fc.string(),
  fc
    .record(
      {
        model: fc.oneof(fc.string(), fc.constant(null)),
        prompt: fc.oneof(fc.string(), fc.integer(), fc.array(fc.string())),
        messages: fc.array(fc.record({ role: fc.string(), content: fc.jsonValue() })),
        stream: fc.oneof(fc.boolean(), fc.string()),
        kv: fc.jsonValue(),
      },
      { requiredKeys: [] },
    )
    .map((value) => JSON.stringify(value)),
);

test('parses any body or refuses it with a typed error', () => {
  const countUntypedFailures = (parse: (path: string, body: Buffer) => unknown): number => {
    let untypedFailures = 0;
    fc.assert(
      fc.property(fc.constantFrom(...PATHS), arbitraryBody, (path, body) => {
        if (!isParsedOrRefused(() => parse(path, Buffer.from(body)))) untypedFailures += 1;
      }),
      { seed: 1, numRuns: 500 },
    );
    return untypedFailures;
  };
  expect(countUntypedFailures((path, body) => parseTarget('POST', path, body))).toBe(0);
  expect(countUntypedFailures((_path, body) => parseUnchecked(body))).toBeGreaterThan(0);
});

test('removes fields of the engine protocol from a body', () => {
  fc.assert(
    fc.property(fc.jsonValue(), fc.jsonValue(), (kv, resume) => {
      const body = JSON.stringify({ model: 'small', prompt: 'p', kv, resume, seed: 1 });
      const target = parseTarget('POST', '/v1/completions', Buffer.from(body));
      if (target?.kind !== 'completion') throw new Error('no completion');
      expect(Object.keys(target.fields).sort()).toEqual(['model', 'prompt', 'seed']);
    }),
    { seed: 1, numRuns: 50 },
  );
});

test('routes or refuses any path without an untyped error', () => {
  fc.assert(
    fc.property(fc.webUrl({ withQueryParameters: true }), fc.string(), (url, tail) => {
      const body = Buffer.from('{}');
      expect(isParsedOrRefused(() => parseTarget('GET', new URL(url).pathname + tail, body))).toBe(
        true,
      );
    }),
    { seed: 1, numRuns: 300 },
  );
});

/** Sends raw bytes and returns the status line of the response; undefined if there is none. */
const sendRawRequest = (text: string): Promise<string | undefined> =>
  new Promise((resolve) => {
    const socket = connect(Number(new URL(harness.baseUrl).port), '127.0.0.1');
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString();
      if (received.includes('\r\n')) socket.destroy();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(received.split('\r\n')[0] || undefined));
    socket.write(text);
  });

const buildRawRequest = (headers: string, body: string): string =>
  `POST /v1/completions HTTP/1.1\r\nhost: entry\r\n${headers}content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;

const AUTHORIZATION_HEADER = `authorization: Bearer ${API_KEY}\r\n`;
const VALID_BODY = JSON.stringify({ model: 'small', prompt: 'p', stream: true });

const RAW_REQUESTS: readonly [string, string, number][] = [
  ['broken JSON', buildRawRequest(AUTHORIZATION_HEADER, '{"model":'), 400],
  ['unknown model', buildRawRequest(AUTHORIZATION_HEADER, '{"model":"none","prompt":"p"}'), 404],
  ['wrong key', buildRawRequest('authorization: Bearer no\r\n', VALID_BODY), 401],
  ['no key', buildRawRequest('', VALID_BODY), 401],
  [
    'bad deadline',
    buildRawRequest(`${AUTHORIZATION_HEADER}x-deadline-ms: soon\r\n`, VALID_BODY),
    400,
  ],
  [
    'bad header',
    buildRawRequest(`${AUTHORIZATION_HEADER}bad header\u0001: x\r\n`, VALID_BODY),
    400,
  ],
  ['wrong method', 'GET /v1/completions HTTP/1.1\r\nhost: entry\r\n\r\n', 405],
  ['unknown path', 'GET /none HTTP/1.1\r\nhost: entry\r\n\r\n', 404],
  ['bad target', 'GET //[ HTTP/1.1\r\nhost: entry\r\n\r\n', 404],
  [
    'long body',
    `POST /v1/completions HTTP/1.1\r\nhost: entry\r\n${AUTHORIZATION_HEADER}content-length: ${MAX_REQUEST_BODY_BYTES + 1}\r\n\r\n${'x'.repeat(MAX_REQUEST_BODY_BYTES + 1)}`,
    413,
  ],
];

for (const [name, raw, status] of RAW_REQUESTS) {
  test(`responds to ${name} with ${status}`, async () => {
    expect(await sendRawRequest(raw)).toContain(` ${status} `);
  });
}

test('refuses a caller with an invalid key before it reads or parses the body', async () => {
  const head = 'POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer wrong\r\n';
  const socket = connect(Number(new URL(harness.baseUrl).port), '127.0.0.1');
  const chunks: Buffer[] = [];
  socket.on('data', (chunk) => chunks.push(chunk));
  // Announces a body of 16 MB but sends none of it.
  socket.write(`${head}content-length: 16000000\r\n\r\n`);
  await new Promise((resolve) => {
    socket.once('close', resolve);
    socket.once('end', () => socket.destroy());
  });
  expect(Buffer.concat(chunks).toString()).toContain(' 401 ');
  expect(await sendRawRequest(`${head}content-length: 2\r\n\r\n{}`)).toContain(' 401 ');
});

test.each([-5, 0, 1.5, '7'])('refuses max_tokens of %s before dispatch', (tokens) => {
  const body = Buffer.from(JSON.stringify({ model: 'm', prompt: 'p', max_tokens: tokens }));
  expect(() => parseTarget('POST', '/v1/completions', body)).toThrow(/max_tokens/);
});

test('handles a caller that disconnects within its request body', async () => {
  const runs = engine.calls.length;
  const socket = connect(Number(new URL(harness.baseUrl).port), '127.0.0.1');
  socket.write(buildRawRequest(AUTHORIZATION_HEADER, VALID_BODY).slice(0, -5), () =>
    socket.destroy(),
  );
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  expect(await sendRawRequest(buildRawRequest(AUTHORIZATION_HEADER, VALID_BODY))).toContain(
    ' 200 ',
  );
  expect(engine.calls).toHaveLength(runs + 1);
});
