import OpenAI from 'openai';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { API_KEY, LIMITED_KEY, startHarness } from './entryHarness.js';
import type { Harness } from './entryHarness.js';
import { FakeUpstream, WHOLE_TEXT } from './fakeUpstream.js';

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

const createClient = (apiKey: string, maxRetries = 0): OpenAI =>
  new OpenAI({ apiKey, baseURL: `${harness.baseUrl}/v1`, maxRetries });

const askFor = (client: OpenAI, model = 'small') =>
  client.completions.create({ model, prompt: 'hello', stream: true });

test('a stock client streams and gets typed errors', async () => {
  const texts: string[] = [];
  for await (const chunk of await askFor(createClient(API_KEY))) {
    texts.push(chunk.choices[0]?.text ?? '');
  }
  expect(texts.join('')).toBe(WHOLE_TEXT);

  await expect(askFor(createClient('wrong'))).rejects.toBeInstanceOf(OpenAI.AuthenticationError);
  await expect(askFor(createClient(API_KEY), 'none')).rejects.toBeInstanceOf(OpenAI.NotFoundError);

  await askFor(createClient(LIMITED_KEY));
  const refusal: unknown = await askFor(createClient(LIMITED_KEY)).catch((cause: unknown) => cause);
  if (!(refusal instanceof OpenAI.RateLimitError)) throw new Error('no refusal');
  expect(refusal.code).toBe('over_limit');
  expect(Number(refusal.headers?.get('retry-after-ms'))).toBeGreaterThan(0);
});

test('a stock client comes again as told and is served', async () => {
  const seen: { status: number; sentAtMs: number; retryAfterMs: number }[] = [];
  const client = new OpenAI({
    apiKey: LIMITED_KEY,
    baseURL: `${harness.baseUrl}/v1`,
    maxRetries: 1,
    async fetch(url, init) {
      const sentAtMs = performance.now();
      // eslint-disable-next-line n/no-unsupported-features/node-builtins -- the client's own default
      const answer = await globalThis.fetch(url, init);
      const retryAfterMs = Number(answer.headers.get('retry-after-ms'));
      seen.push({ status: answer.status, sentAtMs, retryAfterMs });
      return answer;
    },
  });
  for (let count = 0; count < 4; count += 1) await askFor(client);
  const refused = seen.flatMap((one, index) => (one.status === 429 ? [index] : []));
  expect(refused.length).toBeGreaterThan(0);
  refused.forEach((index) => {
    expect(seen[index + 1]?.status).toBe(200);
    // The client's clock may round a timer down by a part of a millisecond.
    const waitedMs = seen[index + 1]!.sentAtMs - seen[index]!.sentAtMs;
    expect(waitedMs).toBeGreaterThan(seen[index]!.retryAfterMs - 1);
  });
});

test('a stock client does not repeat what may have run', async () => {
  engine.script = ['answerLost', 'answerLost', 'answerLost'];
  const calls = engine.calls.length;
  await expect(askFor(createClient(API_KEY, 2))).rejects.toBeInstanceOf(OpenAI.APIError);
  expect(engine.calls).toHaveLength(calls + 1);
  engine.script = [];
});
