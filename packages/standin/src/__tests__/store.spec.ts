import { expect, test } from 'vitest';
import { startRole } from './startRole.js';
import type { RunningRole } from './startRole.js';

const put = (store: RunningRole, name: string, bytes = 100) =>
  store.call('PUT', `/blocks/${name}`, Buffer.alloc(bytes, 7));

const commit = async (store: RunningRole, name: string, bytes = 100) => {
  const { length, checksum } = (await put(store, name, bytes)).json;
  return store.call('POST', `/blocks/${name}/commit`, { length, checksum, generation: 3 });
};

test('a block is temporary, committed, then freed', async () => {
  const store = await startRole('store');
  const states: unknown[] = [];
  const recordState = async () =>
    states.push((await store.call('GET', '/blocks/b')).headers['x-state']);
  await put(store, 'b');
  await recordState();
  expect((await commit(store, 'b')).status).toBe(200);
  await recordState();
  await store.call('POST', '/blocks/b/tombstone');
  await recordState();
  expect(states).toEqual(['temporary', 'committed', 'freed']);
  await store.call('DELETE', '/blocks/b');
  expect((await store.call('GET', '/blocks/b')).status).toBe(404);
});

test('a partial write cannot be committed', async () => {
  const store = await startRole('store');
  await store.call('POST', '/faults', { partialWrites: 1 });
  expect((await commit(store, 'b')).status).toBe(409);
});

test('memory spills to disk, then the store is full', async () => {
  const store = await startRole('store', { memoryBytes: 100, diskBytes: 100 });
  const statuses = [await put(store, 'a'), await put(store, 'b'), await put(store, 'c')];
  expect(statuses.map((answer) => answer.status)).toEqual([200, 200, 507]);
  const { blocks } = (await store.call('GET', '/manifest')).json;
  expect(blocks.map((block: { tier: string }) => block.tier)).toEqual(['disk', 'memory']);
});

test('a restart drops the memory tier and changes the incarnation', async () => {
  const store = await startRole('store');
  const first = (await commit(store, 'b')).json.incarnation;
  await store.call('POST', '/faults', { restart: true });
  const manifest = (await store.call('GET', '/manifest')).json;
  expect([manifest.blocks.length, manifest.incarnation === first]).toEqual([0, false]);
});

test('an old manifest lists a deleted block whose content was overwritten', async () => {
  const store = await startRole('store');
  await commit(store, 'b');
  await store.call('DELETE', '/blocks/b');
  await store.call('POST', '/faults', { oldManifest: true });
  const block = await store.call('GET', '/blocks/b');
  expect([block.headers['x-state'], block.text === '\u0007'.repeat(100)]).toEqual([
    'committed',
    false,
  ]);
});

test('imported blocks are used only after the commit', async () => {
  const store = await startRole('store');
  const engines = [await startRole('engine'), await startRole('engine')] as const;
  const body = { model: 'house', prompt: 'p'.repeat(40) };
  const kv = { blocks: [{ key: 'k0', tokens: 10 }] };
  const run = async () =>
    (await engines[1].call('POST', '/v1/completions', { ...body, kv })).json.usage
      .prompt_tokens_details.cached_tokens;
  await engines[0].call('POST', '/v1/completions', { ...body, kv });
  const names = { blocks: [{ key: 'k0', name: 'b' }], storeUrl: store.url };
  const exported = (await engines[0].call('POST', '/kv/export', names)).json.blocks[0];
  await store.call('POST', '/blocks/b/commit', { ...exported, generation: 1 });
  const staged = (await engines[1].call('POST', '/kv/import', names)).json;
  expect(staged.blocks[0]).toMatchObject({ key: 'k0', generation: 1, checksum: exported.checksum });
  expect((await engines[1].call('GET', '/load')).json.cachedBlocks).toBe(0);
  await engines[1].call('POST', `/kv/import/${staged.importId}/commit`, { keys: ['k0'] });
  expect(await run()).toBe(10);
  expect((await engines[1].call('GET', '/counts')).json.wrongBlockReads).toBe(0);
});

test('an engine counts reads of a block with the wrong content', async () => {
  const store = await startRole('store');
  const engine = await startRole('engine', { blockBytes: 100 });
  await put(store, 'reused');
  const names = { blocks: [{ key: 'k0', name: 'reused' }], storeUrl: store.url };
  const { importId } = (await engine.call('POST', '/kv/import', names)).json;
  await engine.call('POST', `/kv/import/${importId}/commit`, { keys: ['k0'] });
  const kv = { blocks: [{ key: 'k0', tokens: 10 }] };
  await engine.call('POST', '/v1/completions', { model: 'house', prompt: 'p', kv });
  expect((await engine.call('GET', '/counts')).json.wrongBlockReads).toBe(1);
});

test('the service counts an execution whose response was lost', async () => {
  const service = await startRole('service');
  await service.call('POST', '/faults', { loseAnswers: 1 });
  await expect(service.call('POST', '/tickets', { ref: 'r1' })).rejects.toThrow();
  await service.call('POST', '/faults', { resetBeforeRun: 1 });
  await expect(service.call('POST', '/tickets', { ref: 'r2' })).rejects.toThrow();
  expect((await service.call('GET', '/counts')).json.runs).toEqual({ r1: 1 });
});
