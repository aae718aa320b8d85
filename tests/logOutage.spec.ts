import { afterAll, beforeAll, expect, onTestFinished, test } from 'vitest';
import { generateIdempotencyKey } from '@goldcrestscale/load';
import {
  issueTicket,
  checkNonIdempotentCalls,
  noViolations,
  runCompletion,
  TestSite,
} from './harness/index.js';
import type { TrackedCall } from './harness/index.js';

const TICKET_COUNT = 30;
const CLIENT_TIMEOUT_MS = 500;

const testSite = new TestSite();
const { site } = testSite;

beforeAll(() => site.start());
afterAll(() => site.stop());

const issueTickets = (name: string, timeoutMs?: number): Promise<TrackedCall[]> =>
  Promise.all(
    Array.from({ length: TICKET_COUNT }, async (_, index) => {
      const ref = `${name}-${index}`;
      const client = testSite.createClient(index, timeoutMs);
      return { ref, result: await issueTicket(client, ref, generateIdempotencyKey()) };
    }),
  );

test('a ticket runs exactly once when the response to its log append is lost', async () => {
  await site.setFaults('log', { loseAppendAnswers: -1 });
  onTestFinished(() => site.setFaults('log', { loseAppendAnswers: 0 }));
  const ended = await issueTickets('lost');
  await site.setFaults('log', { loseAppendAnswers: 0 });
  const { runs } = await testSite.readServiceCounts();
  expect(checkNonIdempotentCalls(ended, runs)).toMatchObject({
    ...noViolations,
    answered: TICKET_COUNT,
    unknown: 0,
  });
});

test('during a log outage tickets are rejected as not run and idempotent requests are served', async () => {
  await site.setFaults('log', { outage: true });
  onTestFinished(() => site.setFaults('log', { outage: false }));
  const ended = await issueTickets('outage', CLIENT_TIMEOUT_MS);
  const { runs } = await testSite.readServiceCounts();
  expect(checkNonIdempotentCalls(ended, runs)).toMatchObject({
    ...noViolations,
    answered: 0,
    unknown: 0,
  });
  const completion = await runCompletion(testSite.createClient(), 'outage');
  await site.setFaults('log', { outage: false });
  expect(completion.isCorrect).toBe(true);
  const after = await issueTickets('after');
  const counts = await testSite.readServiceCounts();
  expect(checkNonIdempotentCalls(after, counts.runs)).toMatchObject({
    ...noViolations,
    answered: TICKET_COUNT,
  });
});

test('concurrent requests with one idempotency key at two entry VMs run one ticket', async () => {
  const calls = Array.from({ length: TICKET_COUNT }, (_, index) => ({
    ref: `twice-${index}`,
    key: generateIdempotencyKey(),
  }));
  const issue = async (id: string, ref: string, key: string): Promise<TrackedCall> => ({
    ref,
    result: await issueTicket(testSite.createClientFor([id]), ref, key),
  });
  const ended = await Promise.all(
    calls.flatMap(({ ref, key }) => [issue('entry-1', ref, key), issue('entry-2', ref, key)]),
  );
  const { runs } = await testSite.readServiceCounts();
  expect(checkNonIdempotentCalls(ended, runs)).toMatchObject({ ...noViolations, unknown: 0 });
  expect(ended.every(({ result }) => result.lastAttempt.outcome.type === 'whole')).toBe(true);
});
