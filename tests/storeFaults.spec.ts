import { afterAll, beforeAll, expect, test } from 'vitest';
import { requestJson, ReturningLoad, TestSite, waitUntil } from './harness/index.js';

const ENGINES = ['engine-1', 'engine-2', 'engine-3'] as const;
const STORES = ['store-1', 'store-2'] as const;
const CONVERSATIONS = 18;

interface StoreCounts {
  readonly commits: number;
  readonly gets: number;
}

const started = new TestSite({
  engine: { cacheCapacityBlocks: 12, blockBytes: 65_536 },
  store: { linkBytesPerSecond: 20_000_000, memoryBytes: 4_000_000 },
});
const { site } = started;

beforeAll(() => site.start());
afterAll(() => site.stop());

const sumStores = async (name: keyof StoreCounts): Promise<number> => {
  const counts = await Promise.all(STORES.map((id) => site.readCounts<StoreCounts>(id)));
  return counts.reduce((sum, one) => sum + one[name], 0);
};

const countWrongReads = async (): Promise<number> => {
  const counts = await Promise.all(ENGINES.map((id) => started.readEngineCounts(id)));
  return counts.reduce((sum, { wrongBlockReads }) => sum + wrongBlockReads, 0);
};

interface Manifest {
  readonly blocks: readonly { readonly name: string }[];
}

/** Frees every block; the store VM uses the memory for something else. */
const deleteBlocks = async (id: string): Promise<void> => {
  const { blocks } = await site.readManifest<Manifest>(id);
  await Promise.all(
    blocks.map(({ name }) => requestJson(`${site.getUrl(id)}/blocks/${name}`, 'DELETE')),
  );
};

const faults: readonly (readonly [string, Readonly<Record<string, unknown>>])[] = [
  ['keep half of what is written', { partialWrites: 5 }],
  ['lose their memory', { restart: true }],
  ['come back with an old manifest', { oldManifest: true }],
  ['are full', { full: true }],
  ['are dead', { full: false, dead: true }],
];

test('no prompt is served from a wrong block, whatever befalls the store VMs', async () => {
  const load = new ReturningLoad((turn) => started.createCaller(turn), CONVERSATIONS);
  await load.runRound();
  await waitUntil('blocks are exported', async () => (await sumStores('commits')) > 0);
  await load.runRound();
  expect(await sumStores('gets')).toBeGreaterThan(0);
  for (const [name, fault] of faults) {
    if (fault.oldManifest) await Promise.all(STORES.map(deleteBlocks));
    await Promise.all(STORES.map((id) => site.setFaults(id, fault)));
    await load.runRound();
    expect([name, await countWrongReads(), load.wrong]).toEqual([name, 0, 0]);
  }
});
