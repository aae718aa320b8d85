import { afterAll, beforeAll, expect, test } from 'vitest';
import { requestJson, ReturningConversationLoad, TestSite, waitUntil } from './harness/index.js';

const ENGINES = ['engine-1', 'engine-2', 'engine-3'] as const;
const STORES = ['store-1', 'store-2'] as const;
const CONVERSATION_COUNT = 18;

interface StoreCounts {
  readonly commits: number;
  readonly gets: number;
}

const testSite = new TestSite({
  engine: { cacheCapacityBlocks: 12, blockBytes: 65_536 },
  store: { linkBytesPerSecond: 20_000_000, memoryBytes: 4_000_000 },
});
const { site } = testSite;

beforeAll(() => site.start());
afterAll(() => site.stop());

const sumStoreCounts = async (name: keyof StoreCounts): Promise<number> => {
  const counts = await Promise.all(STORES.map((id) => site.readCounts<StoreCounts>(id)));
  return counts.reduce((sum, storeCounts) => sum + storeCounts[name], 0);
};

const countWrongBlockReads = async (): Promise<number> => {
  const counts = await Promise.all(ENGINES.map((id) => testSite.readEngineCounts(id)));
  return counts.reduce((sum, { wrongBlockReads }) => sum + wrongBlockReads, 0);
};

interface Manifest {
  readonly blocks: readonly { readonly name: string }[];
}

/** Deletes every block, so that the store VM reuses their memory. */
const deleteBlocks = async (id: string): Promise<void> => {
  const { blocks } = await site.readManifest<Manifest>(id);
  await Promise.all(
    blocks.map(({ name }) => requestJson(`${site.getUrl(id)}/blocks/${name}`, 'DELETE')),
  );
};

const faultInjections: readonly (readonly [string, Readonly<Record<string, unknown>>])[] = [
  ['partial writes', { partialWrites: 5 }],
  ['restart with loss of memory', { restart: true }],
  ['restart with an old manifest', { oldManifest: true }],
  ['stores full', { full: true }],
  ['stores unreachable', { full: false, dead: true }],
];

test('no prompt is served from a wrong block under any store VM fault', async () => {
  const load = new ReturningConversationLoad(
    (index) => testSite.createClient(index),
    CONVERSATION_COUNT,
  );
  await load.runRound();
  await waitUntil('blocks are exported', async () => (await sumStoreCounts('commits')) > 0);
  await load.runRound();
  expect(await sumStoreCounts('gets')).toBeGreaterThan(0);
  for (const [name, fault] of faultInjections) {
    if (fault.oldManifest) await Promise.all(STORES.map(deleteBlocks));
    await Promise.all(STORES.map((id) => site.setFaults(id, fault)));
    await load.runRound();
    expect([name, await countWrongBlockReads(), load.wrongAnswerCount]).toEqual([name, 0, 0]);
  }
});
