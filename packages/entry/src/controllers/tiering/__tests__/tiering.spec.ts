import { createGenerator, toId } from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  BlockKey,
  UpstreamId,
  VmId,
  VmRecord,
  WorkloadId,
} from '@goldcrestscale/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import type { Attempt } from '../../../dispatch/attempt.js';
import { BlockCallError } from '../blockCalls.js';
import type { BlockCalls, Manifest, StagedBlock } from '../blockCalls.js';
import { ImportingRunner } from '../importingRunner.js';
import { TieringController } from '../tieringController.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const createVm = (vmId: string, role: VmRecord['role']): VmRecord => ({
  vmId: toId<VmId>(vmId),
  role,
  address: vmId,
  availabilityZone: toId<AvailabilityZoneId>('z'),
  state: 'live',
});
const engine = { upstreamId: toId<UpstreamId>('e'), address: 'e' };
const storeId = toId<UpstreamId>('s');
const w = toId<WorkloadId>('w');
const keys = ['k0', 'k1'].map((key) => toId<BlockKey>(key));
const blocks = keys.map((key) => ({ key, tokens: 1 }));

/** Engine and store VM behind fake calls; `spoil` changes what the engine read. */
const createWorld = (spoil: (staged: StagedBlock) => StagedBlock = (staged) => staged) => {
  const stored = new Map<string, Manifest['blocks'][number]>();
  const committed: BlockKey[] = [];
  let held = true;
  let isOut = false;
  const calls: BlockCalls = {
    export: (_e, _s, { key, name }) => {
      if (!held) return Promise.reject(new BlockCallError('export', 404));
      stored.set(name, { name, length: 100, checksum: key, generation: 0, state: 'temporary' });
      return Promise.resolve({ key, length: 100, checksum: key });
    },
    commitBlock: (_s, name, seal) => {
      stored.set(name, { name, ...seal, state: 'committed' });
      return Promise.resolve('i1');
    },
    import: (_e, _s, named) =>
      Promise.resolve({
        importId: 'import',
        blocks: named.map(({ key, name }) =>
          spoil({ ...stored.get(name)!, key, incarnation: 'i1' }),
        ),
      }),
    commitImport: (_e, _id, list) => {
      committed.push(...list);
      return Promise.resolve();
    },
    fetchManifest: () =>
      Promise.resolve({
        incarnation: 'i1',
        capacityBytes: 10_000,
        linkBytesPerSecond: 1e6,
        activeTransfers: 0,
        blocks: [...stored.values()],
      }),
    markFreed: () => Promise.resolve(),
    delete: () => Promise.resolve(),
  };
  const controller = new TieringController({
    listVms: () => [createVm('e', 'engine'), createVm('s', 'store')],
    isZoneOut: () => isOut,
    random: createGenerator(1),
    calls,
  });
  return {
    controller,
    committed,
    stored,
    lose: () => {
      held = false;
    },
    takeOut: () => {
      isOut = true;
    },
  };
};

const exportAll = async (controller: TieringController, signal: AbortSignal) => {
  await controller.start(signal);
  controller.noteHeld(engine.upstreamId, w, blocks);
  await vi.advanceTimersByTimeAsync(1000);
};
const listImports = (controller: TieringController) =>
  keys.flatMap((key) => controller.planner.listCopies(key).map((copy) => ({ key, ...copy })));

test('exports, verifies and commits imports', async () => {
  const abort = new AbortController();
  const { controller, committed } = createWorld();
  await exportAll(controller, abort.signal);
  await controller.import(engine, listImports(controller), abort.signal);
  expect(committed).toEqual(keys);
  abort.abort();
});

test.each<[string, Partial<StagedBlock>]>([
  ['length', { length: 50 }],
  ['checksum', { checksum: 'x' }],
  ['generation', { generation: 1 }],
  ['incarnation', { incarnation: 'i0' }],
])('block with another %s is never committed and leaves the catalog', async (_name, change) => {
  const abort = new AbortController();
  const world = createWorld((staged) =>
    staged.key === keys[0] ? { ...staged, ...change } : staged,
  );
  await exportAll(world.controller, abort.signal);
  await world.controller.import(engine, listImports(world.controller), abort.signal);
  expect(world.committed).toEqual([keys[1]]);
  expect(world.controller.planner.listCopies(keys[0]!)).toEqual([]);
  abort.abort();
});

test('block that the engine has dropped costs the store VM no trust', async () => {
  const abort = new AbortController();
  const { controller, lose, stored } = createWorld();
  lose();
  await exportAll(controller, abort.signal);
  expect(stored.size).toBe(0);
  expect(controller.planner.getCatalog(storeId)?.usable).toBe(true);
  abort.abort();
});

test('zone out stops imports and exports', async () => {
  const abort = new AbortController();
  const { controller, takeOut, committed } = createWorld();
  await exportAll(controller, abort.signal);
  const imports = listImports(controller);
  takeOut();
  await controller.import(engine, imports, abort.signal);
  await controller.refresh(abort.signal);
  expect([committed, listImports(controller)]).toEqual([[], []]);
  abort.abort();
});

test.each([
  [
    'claim lost',
    () => {
      throw new Error('lost');
    },
    true,
  ],
  ['upstream no longer eligible', () => undefined, false],
])('nothing is sent after an import: %s', async (_name, assertSendable, eligible) => {
  const run = vi.fn(() => Promise.resolve());
  const tiering = { import: () => Promise.resolve() };
  const runner = new ImportingRunner({ run }, tiering, { findView: () => ({ eligible }) as never });
  const attempt = { route: { imports: [{}] }, upstream: engine, exchange: { assertSendable } };
  await expect(runner.run(attempt as unknown as Attempt)).rejects.toThrow();
  expect(run).not.toHaveBeenCalled();
});
