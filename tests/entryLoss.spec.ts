import { afterAll, beforeAll, expect, test } from 'vitest';
import { generateIdempotencyKey } from '@goldcrestscale/load';
import {
  issueTicket,
  judgeCalls,
  keptPromises,
  requestJson,
  runCompletion,
  TestSite,
  waitUntil,
} from './harness/index.js';
import type { Caller, ReferencedCall } from './harness/index.js';

const STREAMS = 12;
const TICKETS = 40;
const LONG_ANSWER_TOKENS = 300;
const LOG_DELAY_MS = 200;
const GIVE_UP_MS = 5_000;
/** Longer than a claim may be used. */
const PAUSE_MS = 12_000;

interface EntriesAnswer {
  readonly entries: readonly { readonly address: string }[];
}

const started = new TestSite({ service: { workMs: 200 } });
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
    const caller = started.createCallerAt(firstIds, GIVE_UP_MS);
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

const countRecords = async (): Promise<number> =>
  (await site.readCounts<{ records: number }>('log')).records;

const countRuns = async (): Promise<number> =>
  Object.keys((await started.readServiceCounts()).runs).length;

test.each([
  ['claimed', countRecords],
  ['run', countRuns],
] as const)(
  'tickets whose entry VM is killed once one is %s run at most once',
  async (name, count) => {
    await site.setFaults('log', { delayMs: LOG_DELAY_MS });
    const before = await count();
    const calls = issueTickets(name, ['entry-1', 'entry-2', 'entry-3']);
    await waitUntil(`one is ${name}`, async () => (await count()) > before);
    await site.kill('entry-1');
    const ended = await Promise.all(calls);
    expect(ended.some(({ result }) => result.ends.length > 1)).toBe(true);
    const { runs } = await started.readServiceCounts();
    expect(judgeCalls(ended, runs)).toMatchObject(keptPromises);
    await restartEntry('entry-1');
  },
);

test('tickets whose entry VM is paused across the claim run at most once', async () => {
  await site.setFaults('log', { delayMs: LOG_DELAY_MS });
  const keys = Array.from({ length: TICKETS }, () => generateIdempotencyKey());
  const issue = async (caller: Caller, index: number): Promise<ReferencedCall> => {
    const ref = `paused-${index}`;
    return { ref, result: await issueTicket(caller, ref, keys[index] ?? '') };
  };
  // The first callers still wait when their entry VM goes on.
  const patient = started.createCallerAt(['entry-1']);
  const other = started.createCallerAt(['entry-2'], PAUSE_MS);
  const before = await countRecords();
  const first = keys.map((_, index) => issue(patient, index));
  await waitUntil('a claim is made', async () => (await countRecords()) > before);
  site.pause('entry-1');
  const second = keys.map((_, index) => issue(other, index));
  await Promise.all(second);
  site.resume('entry-1');
  const ended = await Promise.all([...first, ...second]);
  const { runs } = await started.readServiceCounts();
  expect(judgeCalls(ended, runs)).toMatchObject(keptPromises);
});

test('a killed entry VM leaves /v1/entries though the VM list still shows it', async () => {
  await site.kill('entry-3');
  const lost = site.getAddress('entry-3');
  const isListed = async (id: string): Promise<boolean> =>
    (await requestJson<EntriesAnswer>(`${site.getUrl(id)}/v1/entries`)).entries.some(
      (entry) => entry.address === lost,
    );
  await waitUntil(
    'both others have noticed',
    async () => !(await isListed('entry-1')) && !(await isListed('entry-2')),
  );
});
