import { afterAll, beforeAll, expect, test } from 'vitest';
import { generateIdempotencyKey } from '@goldcrestscale/load';
import {
  issueTicket,
  judgeCalls,
  keptPromises,
  runCompletion,
  TestSite,
  waitUntil,
} from './harness/index.js';
import type { ReferencedCall } from './harness/index.js';

const STREAMS = 12;
const TICKETS = 40;
const LONG_ANSWER_TOKENS = 300;
const LOG_DELAY_MS = 200;

const started = new TestSite();
const { site } = started;

beforeAll(() => site.start());
afterAll(() => site.stop());

const restartEntry = async (id: string): Promise<void> => {
  await site.restart(id);
  await site.setFaults('log', { delayMs: 0 });
};

const issueTickets = (name: string, firstIds: readonly string[]): Promise<ReferencedCall>[] =>
  Array.from({ length: TICKETS }, async (_, index) => {
    const ref = `${name}-${index}`;
    const caller = started.createCallerAt(firstIds);
    return { ref, result: await issueTicket(caller, ref, generateIdempotencyKey()) };
  });

test('every caller of a killed entry VM gets its whole answer from another', async () => {
  const caller = (index: number) => started.createCaller(index);
  const streams = Array.from({ length: STREAMS }, (_, index) =>
    runCompletion(caller(index), `stream ${index}`, LONG_ANSWER_TOKENS),
  );
  await waitUntil('every stream runs', async () => {
    const ids = ['engine-1', 'engine-2', 'engine-3'];
    const counts = await Promise.all(ids.map((id) => started.readEngineCounts(id)));
    return counts.reduce((sum, { completions }) => sum + completions, 0) >= STREAMS;
  });
  await site.kill('entry-1');
  const ended = await Promise.all(streams);
  expect(ended.filter(({ isRight }) => !isRight)).toEqual([]);
  const ends = ended.flatMap(({ result }) => result.ends);
  expect(ends.some(({ type }) => type !== 'whole')).toBe(true);
  await restartEntry('entry-1');
});

test('tickets whose entry VM is killed mid-claim run at most once', async () => {
  await site.setFaults('log', { delayMs: LOG_DELAY_MS });
  const calls = issueTickets('killed', ['entry-1', 'entry-2', 'entry-3']);
  await waitUntil('claims are under way', async () => {
    const { runs } = await started.readServiceCounts();
    return Object.keys(runs).length > 0;
  });
  await site.kill('entry-1');
  const ended = await Promise.all(calls);
  const { runs } = await started.readServiceCounts();
  expect(judgeCalls(ended, runs)).toMatchObject(keptPromises);
  await restartEntry('entry-1');
});

test('tickets whose entry VM is paused across the claim run at most once', async () => {
  await site.setFaults('log', { delayMs: LOG_DELAY_MS });
  const keys = Array.from({ length: TICKETS }, () => generateIdempotencyKey());
  const issue = (id: string, index: number): Promise<ReferencedCall> => {
    const ref = `paused-${index}`;
    const sent = issueTicket(started.createCallerAt([id]), ref, keys[index] ?? '');
    return sent.then((result) => ({ ref, result }));
  };
  const first = keys.map((_, index) => issue('entry-1', index));
  await waitUntil(
    'claims are sent',
    async () => (await site.readCounts<{ records: number }>('log')).records > 0,
  );
  site.pause('entry-1');
  const second = keys.map((_, index) => issue('entry-2', index));
  await Promise.all(second);
  site.resume('entry-1');
  const ended = await Promise.all([...first, ...second]);
  const { runs } = await started.readServiceCounts();
  expect(judgeCalls(ended, runs)).toMatchObject(keptPromises);
});
