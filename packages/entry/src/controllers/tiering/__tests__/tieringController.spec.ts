import { createRandomGenerator, toId } from '@goldcrestscale/core';
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
import { BlockTransferError } from '../blockTransferClient.js';
import type { BlockTransferClient, Manifest, StagedBlock } from '../blockTransferClient.js';
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
const workloadId = toId<WorkloadId>('w');
const keys = ['k0', 'k1'].map((key) => toId<BlockKey>(key));
const blocks = keys.map((key) => ({ key, tokens: 1 }));

/** Engine and store VM behind a fake client; `corrupt` alters the blocks that the engine staged. */
const createFixture = (corrupt: (staged: StagedBlock) => StagedBlock = (staged) => staged) => {
  const stored = new Map<string, Manifest['blocks'][number]>();
  const committed: BlockKey[] = [];
  let isHeld = true;
  let isZoneOut = false;
  const client: BlockTransferClient = {
    export: (_e, _s, { key, name }) => {
      if (!isHeld) return Promise.reject(new BlockTransferError('export', 404));
      stored.set(name, { name, length: 100, checksum: key, generation: 0, state: 'temporary' });
      return Promise.resolve({ key, length: 100, checksum: key });
    },
    commitBlock: (_s, name, fingerprint) => {
      stored.set(name, { name, ...fingerprint, state: 'committed' });
      return Promise.resolve('i1');
    },
    import: (_e, _s, named) =>
      Promise.resolve({
        importId: 'import',
        blocks: named.map(({ key, name }) =>
          corrupt({ ...stored.get(name)!, key, incarnation: 'i1' }),
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
    isZoneOut: () => isZoneOut,
    random: createRandomGenerator(1),
    client,
  });
  return {
    controller,
    committed,
    stored,
    lose: () => {
      isHeld = false;
    },
    takeOut: () => {
      isZoneOut = true;
    },
  };
};

const exportAll = async (controller: TieringController, signal: AbortSignal) => {
  await controller.start(signal);
  controller.recordCachedBlocks(engine.upstreamId, workloadId, blocks);
  await vi.advanceTimersByTimeAsync(1000);
};
const listImports = (controller: TieringController) =>
  keys.flatMap((key) => controller.planner.listCopies(key).map((copy) => ({ key, ...copy })));

test('exports, verifies and commits imports', async () => {
  const abort = new AbortController();
  const { controller, committed } = createFixture();
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
])(
  'block with a mismatching %s is never committed and is removed from the catalog',
  async (_name, change) => {
    const abort = new AbortController();
    const fixture = createFixture((staged) =>
      staged.key === keys[0] ? { ...staged, ...change } : staged,
    );
    await exportAll(fixture.controller, abort.signal);
    await fixture.controller.import(engine, listImports(fixture.controller), abort.signal);
    expect(fixture.committed).toEqual([keys[1]]);
    expect(fixture.controller.planner.listCopies(keys[0]!)).toEqual([]);
    abort.abort();
  },
);

test('a block evicted by the engine does not count as a failure of the store VM', async () => {
  const abort = new AbortController();
  const { controller, lose, stored } = createFixture();
  lose();
  await exportAll(controller, abort.signal);
  expect(stored.size).toBe(0);
  expect(controller.planner.getCatalog(storeId)?.usable).toBe(true);
  abort.abort();
});

test('a zone taken out of service stops imports and exports', async () => {
  const abort = new AbortController();
  const { controller, takeOut, committed } = createFixture();
  await exportAll(controller, abort.signal);
  const imports = listImports(controller);
  takeOut();
  await controller.import(engine, imports, abort.signal);
  await controller.refreshManifests(abort.signal);
  expect([committed, listImports(controller)]).toEqual([[], []]);
  abort.abort();
});

test.each([
  [
    'claim lost during import',
    () => {
      throw new Error('lost');
    },
    true,
  ],
  ['upstream no longer eligible', () => undefined, false],
])('attempt is not sent after an import: %s', async (_name, assertSendable, eligible) => {
  const run = vi.fn(() => Promise.resolve());
  const tiering = { import: () => Promise.resolve() };
  const runner = new ImportingRunner({ run }, tiering, { findView: () => ({ eligible }) as never });
  const attempt = { route: { imports: [{}] }, upstream: engine, exchange: { assertSendable } };
  await expect(runner.run(attempt as unknown as Attempt)).rejects.toThrow();
  expect(run).not.toHaveBeenCalled();
});
