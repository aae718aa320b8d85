import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  checkAtMostOnce,
  computeRetryDelayMs,
  generateIdempotencyKey,
  getVerdict,
  loadToolSettingsSchema,
  parseCompletionChunk,
  parseErrorBody,
  readEvents,
} from '../index.js';
import type { AttemptOutcome, RequestResult } from '../index.js';

const collect = async (chunks: readonly Uint8Array[]): Promise<string[]> => {
  const events: string[] = [];
  const body = (async function* generateChunks() {
    yield* chunks;
  })();
  for await (const event of readEvents(body)) events.push(event);
  return events;
};

test('events do not depend on chunk boundaries', async () => {
  const events = fc.array(
    fc.string({ minLength: 1, unit: 'grapheme' }).map((text) => JSON.stringify(text)),
    {
      maxLength: 8,
    },
  );
  await fc.assert(
    fc.asyncProperty(events, fc.array(fc.nat(200)), async (data, cuts) => {
      const bytes = Buffer.from(data.map((event) => `data: ${event}\n\n`).join(''));
      const boundaries = [0, ...cuts.map((cut) => cut % (bytes.length + 1)), bytes.length];
      boundaries.sort((left, right) => left - right);
      const chunks = boundaries
        .slice(1)
        .map((end, index) => bytes.subarray(boundaries[index], end));
      expect(await collect(chunks)).toEqual(data);
    }),
    { seed: 1, numRuns: 200 },
  );
});

test('an incomplete event is not yielded', async () => {
  expect(await collect([Buffer.from('data: 1\n\ndata: [DONE]')])).toEqual(['1']);
});

test('any text parses to a chunk or to undefined', () => {
  fc.assert(
    fc.property(fc.oneof(fc.string(), fc.json()), (text) => {
      const chunk = parseCompletionChunk(text);
      if (chunk) expect(typeof chunk.text).toBe('string');
      parseErrorBody(text);
    }),
    { seed: 1, numRuns: 300 },
  );
});

test('an error without a verdict counts as may-have-run', () => {
  expect(parseErrorBody('{"error":{"code":"x"}}')).toEqual({ code: 'x', verdict: 'may-have-run' });
  expect(parseErrorBody('{"choices":[]}')).toBeUndefined();
});

test('idempotency key is a version 7 UUID with its creation time', () => {
  const key = generateIdempotencyKey(0x0123_4567_89ab);
  expect(key).toMatch(/^01234567-89ab-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/);
  expect(generateIdempotencyKey()).not.toBe(generateIdempotencyKey());
});

const createRefusal = (
  verdict: 'not-run' | 'may-have-run',
  retryAfterMs?: number,
): AttemptOutcome => ({
  type: 'refused',
  status: 503,
  error: { code: 'x', verdict, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) },
});

const [lookup, ticket] = loadToolSettingsSchema.parse({
  workloads: [
    { type: 'service', name: 'a', ratePerSecond: 1, service: 's', path: '/a' },
    { type: 'service', name: 'b', ratePerSecond: 1, service: 's', path: '/b', unrepeatable: true },
  ],
}).workloads;

test.each([
  [{ type: 'whole' }, undefined, undefined],
  [{ type: 'unreachable' }, 0, 0],
  [{ type: 'cut' }, 200, 200],
  [{ type: 'truncated' }, 200, 200],
  [createRefusal('not-run', 700), 700, 700],
  [createRefusal('not-run'), undefined, undefined],
  [createRefusal('may-have-run', 700), 700, undefined],
] as const)('retry after %j', (end, idempotentDelayMs, nonIdempotentDelayMs) => {
  if (!lookup || !ticket) throw new Error('no workload');
  expect(computeRetryDelayMs(end, lookup)).toBe(idempotentDelayMs);
  expect(computeRetryDelayMs(end, ticket)).toBe(nonIdempotentDelayMs);
});

const createCall = (ref: string, outcome: RequestResult['outcome'], end: AttemptOutcome) =>
  ({ ref, outcome, verdict: getVerdict(end), attempts: [end] }) as unknown as RequestResult;

test('at-most-once check uses the run counts of the services', () => {
  const calls = [
    createCall('good', 'whole', { type: 'whole' }),
    createCall('twice', 'whole', { type: 'whole' }),
    createCall('lost', 'whole', { type: 'whole' }),
    createCall('true refusal', 'refused', createRefusal('not-run')),
    createCall('false refusal', 'refused', createRefusal('not-run')),
    createCall('unknown', 'failed', { type: 'cut' }),
  ];
  const counts = new Map(Object.entries({ good: 1, twice: 2, 'false refusal': 1, unknown: 1 }));
  expect(checkAtMostOnce(calls, counts)).toEqual({
    calls: 6,
    counted: true,
    doubled: ['twice'],
    lost: ['lost'],
    falseNotRun: ['false refusal'],
  });
  expect(checkAtMostOnce(calls, undefined)).toMatchObject({ counted: false, doubled: [] });
});
