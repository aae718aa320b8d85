import OpenAI from 'openai';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { API_KEY, LIMITED_KEY, startHarness } from './entryHarness.js';
import type { Harness } from './entryHarness.js';
import { FakeUpstream, COMPLETE_TEXT } from './fakeUpstream.js';

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

const createOpenAiClient = (apiKey: string, maxRetries = 0): OpenAI =>
  new OpenAI({ apiKey, baseURL: `${harness.baseUrl}/v1`, maxRetries });

const streamCompletion = (client: OpenAI, model = 'small') =>
  client.completions.create({ model, prompt: 'hello', stream: true });

test('the OpenAI client streams and gets typed errors', async () => {
  const texts: string[] = [];
  for await (const chunk of await streamCompletion(createOpenAiClient(API_KEY))) {
    texts.push(chunk.choices[0]?.text ?? '');
  }
  expect(texts.join('')).toBe(COMPLETE_TEXT);

  await expect(streamCompletion(createOpenAiClient('wrong'))).rejects.toBeInstanceOf(
    OpenAI.AuthenticationError,
  );
  await expect(streamCompletion(createOpenAiClient(API_KEY), 'none')).rejects.toBeInstanceOf(
    OpenAI.NotFoundError,
  );

  await streamCompletion(createOpenAiClient(LIMITED_KEY));
  const refusal: unknown = await streamCompletion(createOpenAiClient(LIMITED_KEY)).catch(
    (cause: unknown) => cause,
  );
  if (!(refusal instanceof OpenAI.RateLimitError)) throw new Error('no refusal');
  expect(refusal.code).toBe('over_limit');
  expect(Number(refusal.headers?.get('retry-after-ms'))).toBeGreaterThan(0);
});

test('the OpenAI client retries after the given delay and succeeds', async () => {
  const responses: { status: number; sentAtMs: number; retryAfterMs: number }[] = [];
  const client = new OpenAI({
    apiKey: LIMITED_KEY,
    baseURL: `${harness.baseUrl}/v1`,
    maxRetries: 1,
    async fetch(url, init) {
      const sentAtMs = performance.now();
      // eslint-disable-next-line n/no-unsupported-features/node-builtins -- the client's own default
      const response = await globalThis.fetch(url, init);
      const retryAfterMs = Number(response.headers.get('retry-after-ms'));
      responses.push({ status: response.status, sentAtMs, retryAfterMs });
      return response;
    },
  });
  for (let count = 0; count < 4; count += 1) await streamCompletion(client);
  const refused = responses.flatMap((item, index) => (item.status === 429 ? [index] : []));
  expect(refused.length).toBeGreaterThan(0);
  refused.forEach((index) => {
    expect(responses[index + 1]?.status).toBe(200);
    // Timers may fire up to one millisecond early.
    const waitedMs = responses[index + 1]!.sentAtMs - responses[index]!.sentAtMs;
    expect(waitedMs).toBeGreaterThan(responses[index]!.retryAfterMs - 1);
  });
});

test('the OpenAI client does not retry a request that may have run', async () => {
  engine.script = ['answerLost', 'answerLost', 'answerLost'];
  const calls = engine.calls.length;
  await expect(streamCompletion(createOpenAiClient(API_KEY, 2))).rejects.toBeInstanceOf(
    OpenAI.APIError,
  );
  expect(engine.calls).toHaveLength(calls + 1);
  engine.script = [];
});
