import { afterAll, beforeAll, expect, test } from 'vitest';
import { generateIdempotencyKey } from '@goldcrestscale/load';
import {
  issueTicket,
  checkNonIdempotentCalls,
  noViolations,
  requestJson,
  runCompletion,
  TestSite,
  waitUntil,
} from './harness/index.js';
import type { RetryingClient, TrackedCall } from './harness/index.js';

const STREAM_COUNT = 12;
const TICKET_COUNT = 40;
const LONG_ANSWER_TOKENS = 300;
const LOG_DELAY_MS = 200;
const CLIENT_TIMEOUT_MS = 5_000;
/** Longer than a claim is valid: calls to the second entry VM can outlast claims of the paused one. */
const LONG_CLIENT_TIMEOUT_MS = 12_000;

interface EntriesResponse {
  readonly entries: readonly { readonly address: string }[];
}

const testSite = new TestSite({ service: { workMs: 200 } });
const { site } = testSite;

beforeAll(() => site.start());
afterAll(() => site.stop());

const restartEntry = async (id: string): Promise<void> => {
  await site.restart(id);
  await site.setFaults('log', { delayMs: 0 });
};

const issueTickets = (name: string, entryIds: readonly string[]): Promise<TrackedCall>[] =>
  Array.from({ length: TICKET_COUNT }, async (_, index) => {
    const ref = `${name}-${index}`;
    const client = testSite.createClientFor(entryIds, CLIENT_TIMEOUT_MS);
    return { ref, result: await issueTicket(client, ref, generateIdempotencyKey()) };
  });

test('every client of a killed entry VM gets its complete answer from another entry VM', async () => {
  const client = (index: number) => testSite.createClient(index);
  const streams = Array.from({ length: STREAM_COUNT }, (_, index) =>
    runCompletion(client(index), `stream ${index}`, LONG_ANSWER_TOKENS),
  );
  await waitUntil('every stream has reached an engine', async () => {
    const ids = ['engine-1', 'engine-2', 'engine-3'];
    const counts = await Promise.all(ids.map((id) => testSite.readEngineCounts(id)));
    return counts.reduce((sum, { completions }) => sum + completions, 0) >= STREAM_COUNT;
  });
  await site.kill('entry-1');
  const ended = await Promise.all(streams);
  expect(ended.filter(({ isCorrect }) => !isCorrect)).toEqual([]);
  const attemptEnds = ended.flatMap(({ result }) => result.attemptEnds);
  expect(attemptEnds.some(({ type }) => type !== 'whole')).toBe(true);
  await restartEntry('entry-1');
});

const countRecords = async (): Promise<number> =>
  (await site.readCounts<{ records: number }>('log')).records;

const countRuns = async (): Promise<number> =>
  Object.keys((await testSite.readServiceCounts()).runs).length;

test.each([
  ['claimed', countRecords],
  ['run', countRuns],
] as const)(
  'tickets run at most once when their entry VM is killed after the first is %s',
  async (name, count) => {
    await site.setFaults('log', { delayMs: LOG_DELAY_MS });
    const before = await count();
    const calls = issueTickets(name, ['entry-1', 'entry-2', 'entry-3']);
    await waitUntil(`one ticket is ${name}`, async () => (await count()) > before);
    await site.kill('entry-1');
    const ended = await Promise.all(calls);
    expect(ended.some(({ result }) => result.attemptEnds.length > 1)).toBe(true);
    const { runs } = await testSite.readServiceCounts();
    expect(checkNonIdempotentCalls(ended, runs)).toMatchObject(noViolations);
    await restartEntry('entry-1');
  },
);

test('tickets run at most once when their entry VM is paused between claim and execution', async () => {
  await site.setFaults('log', { delayMs: LOG_DELAY_MS });
  const keys = Array.from({ length: TICKET_COUNT }, () => generateIdempotencyKey());
  const issue = async (client: RetryingClient, index: number): Promise<TrackedCall> => {
    const ref = `paused-${index}`;
    return { ref, result: await issueTicket(client, ref, keys[index] ?? '') };
  };
  // This client's timeout is long enough for it to be still waiting when its entry VM resumes.
  const pausedEntryClient = testSite.createClientFor(['entry-1']);
  const otherEntryClient = testSite.createClientFor(['entry-2'], LONG_CLIENT_TIMEOUT_MS);
  const before = await countRecords();
  const pausedCalls = keys.map((_, index) => issue(pausedEntryClient, index));
  await waitUntil('a claim is recorded in the log', async () => (await countRecords()) > before);
  site.pause('entry-1');
  const otherCalls = keys.map((_, index) => issue(otherEntryClient, index));
  await Promise.all(otherCalls);
  site.resume('entry-1');
  const ended = await Promise.all([...pausedCalls, ...otherCalls]);
  const { runs } = await testSite.readServiceCounts();
  expect(checkNonIdempotentCalls(ended, runs)).toMatchObject(noViolations);
});

test('a killed entry VM is removed from /v1/entries even while the VM list still contains it', async () => {
  await site.kill('entry-3');
  const killedAddress = site.getAddress('entry-3');
  const isListed = async (id: string): Promise<boolean> =>
    (await requestJson<EntriesResponse>(`${site.getUrl(id)}/v1/entries`)).entries.some(
      (entry) => entry.address === killedAddress,
    );
  await waitUntil(
    'both other entry VMs have removed it',
    async () => !(await isListed('entry-1')) && !(await isListed('entry-2')),
  );
});
