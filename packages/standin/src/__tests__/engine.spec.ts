import { expect, test } from 'vitest';
import { generateAnswer } from '../engine/index.js';
import { startRole } from './startRole.js';
import type { RunningRole } from './startRole.js';

const complete = (engine: RunningRole, extra: object = {}, headers: Record<string, string> = {}) =>
  engine.call(
    'POST',
    '/v1/completions',
    { model: 'house', prompt: 'fit my boot', max_tokens: 6, ...extra },
    headers,
  );

const blocks = [{ key: 'k0', tokens: 2 }];

test('the answer depends only on weight version and prompt', async () => {
  const engine = await startRole('engine');
  const answer = await complete(engine);
  expect(answer.json.choices[0].text).toBe(generateAnswer('v1', 'fit my boot', 6));
  expect(generateAnswer('v2', 'fit my boot', 6)).not.toBe(generateAnswer('v1', 'fit my boot', 6));
});

test('a stream ends with usage and its end marker', async () => {
  const engine = await startRole('engine');
  const answer = await complete(engine, { stream: true }, { 'x-attempt-id': 'a1' });
  expect(answer.headers['x-attempt-id']).toBe('a1');
  expect(answer.text).toContain('"completion_tokens":6');
  expect(answer.text.endsWith('data: [DONE]\n\n')).toBe(true);
});

test('a cached prefix is reused and counted', async () => {
  const engine = await startRole('engine');
  await complete(engine, { kv: { blocks } });
  const again = await complete(engine, { kv: { blocks } });
  expect(again.json.usage.prompt_tokens_details.cached_tokens).toBe(2);
  expect((await engine.call('GET', '/events?from=0')).json.events).toEqual([
    { seq: 0, type: 'stored', keys: ['k0'] },
  ]);
});

test('a cold engine restarts when it exceeds its concurrency limit', async () => {
  const engine = await startRole('engine', { coldConcurrent: 1, restartMs: 0 });
  const before = (await engine.call('GET', '/load')).json;
  const answers = await Promise.allSettled([complete(engine), complete(engine)]);
  expect(answers.map((answer) => answer.status)).toEqual(['rejected', 'rejected']);
  const after = (await engine.call('GET', '/load')).json;
  expect([before.cold, after.cold, after.bootId === before.bootId]).toEqual([true, true, false]);
});

test('a warm engine queues requests and rejects them as not run when the queue is full', async () => {
  const settings = { coldCompletions: 0, maxConcurrent: 1, queueLimit: 1 };
  const engine = await startRole('engine', settings);
  const answers = await Promise.all([1, 2, 3].map(() => complete(engine)));
  expect(answers.map((answer) => answer.status).sort()).toEqual([200, 200, 503]);
  expect(answers.find((answer) => answer.status === 503)?.headers['x-not-run']).toBe('true');
});

test('a request for another weight version is rejected', async () => {
  const engine = await startRole('engine');
  const answer = await complete(engine, {}, { 'x-weight-version': 'v9' });
  expect([answer.status, answer.json.error.code]).toEqual([409, 'weight_version']);
});

test('a disconnected stream resumes at the given offset', async () => {
  const engine = await startRole('engine');
  await engine.call('POST', '/faults', { dieMidStream: 1 });
  await expect(complete(engine, {}, { 'x-attempt-id': 'a1' })).rejects.toThrow();
  const rest = await engine.call('POST', '/v1/requests/a1/resume', { tokens: 3 });
  const whole = generateAnswer('v1', 'fit my boot', 6);
  expect(whole.endsWith(rest.json.choices[0].text)).toBe(true);
  expect((await engine.call('POST', '/v1/requests/a1/resume', { tokens: 3 })).status).toBe(404);
});

test.each([
  ['truncate', '"finish_reason":null'],
  ['crossAnswers', 'cmpl-other-a1'],
])('%s affects one response', async (fault, expectedText) => {
  const engine = await startRole('engine');
  await engine.call('POST', '/faults', { [fault]: 1 });
  const broken = await complete(engine, { stream: true }, { 'x-attempt-id': 'a1' });
  expect(broken.text).toContain(expectedText);
  expect(broken.text.includes('[DONE]')).toBe(fault === 'crossAnswers');
  const next = await complete(engine);
  expect(next.json.choices[0].text).toBe(generateAnswer('v1', 'fit my boot', 6));
});

test('an outdated fencing number is rejected if the engine checks it', async () => {
  for (const checksFencing of [true, false]) {
    const engine = await startRole('engine', { checksFencing });
    const order = (fencing: number) =>
      engine.call('POST', '/orders', { type: 'role', model: 'house', role: 'decode', fencing });
    expect((await order(7)).status).toBe(202);
    expect((await order(6)).status).toBe(checksFencing ? 409 : 202);
  }
});

test('a load switches the weight version and clears the cache', async () => {
  const store = await startRole('weights', { loadMs: 0 });
  const engine = await startRole('engine', { weightLoadMs: 5, weightStoreUrl: store.url });
  await complete(engine, { kv: { blocks } });
  const order = { type: 'load', model: 'house', version: 'v2', fencing: 1 };
  await engine.call('POST', '/orders', order);
  await expect
    .poll(async () => (await engine.call('GET', '/load')).json)
    .toMatchObject({ weightVersion: 'v2', cachedBlocks: 0, state: 'serving' });
});
