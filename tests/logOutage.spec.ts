import { afterAll, beforeAll, expect, onTestFinished, test } from 'vitest';
import { generateIdempotencyKey } from '@goldcrestscale/load';
import { issueTicket, judgeCalls, keptPromises, runCompletion, TestSite } from './harness/index.js';
import type { ReferencedCall } from './harness/index.js';

const TICKETS = 30;
const GIVE_UP_MS = 500;

const started = new TestSite();
const { site } = started;

beforeAll(() => site.start());
afterAll(() => site.stop());

const issueTickets = (name: string, timeoutMs?: number): Promise<ReferencedCall[]> =>
  Promise.all(
    Array.from({ length: TICKETS }, async (_, index) => {
      const ref = `${name}-${index}`;
      const caller = started.createCaller(index, timeoutMs);
      return { ref, result: await issueTicket(caller, ref, generateIdempotencyKey()) };
    }),
  );

test('a ticket whose append answer is lost runs exactly once', async () => {
  await site.setFaults('log', { loseAppendAnswers: -1 });
  onTestFinished(() => site.setFaults('log', { loseAppendAnswers: 0 }));
  const ended = await issueTickets('lost');
  await site.setFaults('log', { loseAppendAnswers: 0 });
  const { runs } = await started.readServiceCounts();
  expect(judgeCalls(ended, runs)).toMatchObject({ ...keptPromises, answered: TICKETS, unknown: 0 });
});

test('a log outage refuses tickets as not run and serves idempotent work', async () => {
  await site.setFaults('log', { outage: true });
  onTestFinished(() => site.setFaults('log', { outage: false }));
  const ended = await issueTickets('outage', GIVE_UP_MS);
  const { runs } = await started.readServiceCounts();
  expect(judgeCalls(ended, runs)).toMatchObject({ ...keptPromises, answered: 0, unknown: 0 });
  const completion = await runCompletion(started.createCaller(), 'outage');
  await site.setFaults('log', { outage: false });
  expect(completion.isRight).toBe(true);
  const after = await issueTickets('after');
  const counts = await started.readServiceCounts();
  expect(judgeCalls(after, counts.runs)).toMatchObject({ ...keptPromises, answered: TICKETS });
});

test('one key at two entry VMs at once runs one ticket', async () => {
  const calls = Array.from({ length: TICKETS }, (_, index) => ({
    ref: `twice-${index}`,
    key: generateIdempotencyKey(),
  }));
  const issue = async (id: string, ref: string, key: string): Promise<ReferencedCall> => ({
    ref,
    result: await issueTicket(started.createCallerAt([id]), ref, key),
  });
  const ended = await Promise.all(
    calls.flatMap(({ ref, key }) => [issue('entry-1', ref, key), issue('entry-2', ref, key)]),
  );
  const { runs } = await started.readServiceCounts();
  expect(judgeCalls(ended, runs)).toMatchObject({ ...keptPromises, unknown: 0 });
  expect(ended.every(({ result }) => result.last.end.type === 'whole')).toBe(true);
});
