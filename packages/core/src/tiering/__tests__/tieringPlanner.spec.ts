import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { AvailabilityZoneId, BlockKey, UpstreamId, WorkloadId } from '../../ids.js';
import { LinkBudget } from '../linkBudget.js';
import { ReuseModel } from '../reuseModel.js';
import { SingleFlight } from '../singleFlight.js';
import type { StoreView } from '../storeCatalog.js';
import { TieringPlanner } from '../tieringPlanner.js';
import type { ExportTask } from '../tieringPlanner.js';
import { AccessTracker } from '../accessTracker.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const MINUTE_MS = 60_000;
const workloadId = toId<WorkloadId>('w');
const engineId = toId<UpstreamId>('e');
const createBlocks = (name: string, count: number) =>
  Array.from({ length: count }, (_, i) => ({ key: toId<BlockKey>(`${name}${i}`), tokens: 1 }));
const createView = (id: string, change: Partial<StoreView> = {}): StoreView => ({
  storeId: toId<UpstreamId>(id),
  availabilityZone: toId<AvailabilityZoneId>(id),
  eligible: true,
  incarnation: 'i1',
  capacityBytes: 1000,
  linkBytesPerSecond: 1000,
  activeTransfers: 0,
  ...change,
});
const createPlanner = (...views: StoreView[]) => {
  const planner = new TieringPlanner({ random: xoroshiro128plus(1), bytesPerToken: 100 });
  views.forEach((view) => planner.updateStore(view));
  return planner;
};
const finishExport = (planner: TieringPlanner, task: ExportTask) => {
  const { key, bytes } = task.candidate;
  const fingerprint = { length: bytes, checksum: 'c', generation: 1, incarnation: 'i1' };
  const block = { key, storeId: task.storeId, name: key, ...fingerprint };
  planner.finishExport(task, { kind: 'stored', block });
};
const exportAll = (planner: TieringPlanner): ExportTask[] => {
  const tasks: ExportTask[] = [];
  for (let task = planner.startNextExport(); task; task = planner.startNextExport()) {
    tasks.push(task);
    finishExport(planner, task);
    vi.advanceTimersByTime(1000);
  }
  return tasks;
};

test('the reuse model learns the typical gap', () => {
  const model = new ReuseModel();
  for (let i = 0; i < 500; i += 1) model.recordReuse(workloadId, 20 * MINUTE_MS);
  for (let i = 0; i < 500; i += 1) model.recordIdle(workloadId, 24 * 60 * MINUTE_MS);
  expect(model.estimateReuse(workloadId, MINUTE_MS).probability).toBeCloseTo(0.5, 1);
  expect(model.estimateReuse(workloadId, 60 * MINUTE_MS).probability).toBeLessThan(0.1);
  const near = model.estimateReuse(workloadId, 15 * MINUTE_MS).reusesPerHour;
  expect(near).toBeGreaterThan(5 * model.estimateReuse(workloadId, 60 * MINUTE_MS).reusesPerHour);
});

test('a prompt that extends an earlier one counts as reuse', () => {
  const model = new ReuseModel();
  const accesses = new AccessTracker(model, 10);
  for (let i = 1; i < 200; i += 1) {
    accesses.recordAccess(workloadId, createBlocks('a', i));
    vi.advanceTimersByTime(10 * MINUTE_MS);
  }
  expect(model.estimateReuse(workloadId, MINUTE_MS).probability).toBeGreaterThan(0.95);
});

test('a block is copied to two store VMs, not to a third', () => {
  const planner = createPlanner(createView('s1'), createView('s2'), createView('s3'));
  planner.recordCachedBlocks(engineId, workloadId, createBlocks('a', 2));
  expect(exportAll(planner)).toHaveLength(4);
  planner.recordCachedBlocks(engineId, workloadId, createBlocks('a', 2));
  expect(exportAll(planner)).toHaveLength(0);
  expect(planner.listCopies(toId<BlockKey>('a0'))).toHaveLength(2);
});

test('a block has at most one running export per store VM', () => {
  const planner = createPlanner(createView('s1'));
  planner.recordCachedBlocks(engineId, workloadId, createBlocks('a', 1));
  expect(planner.startNextExport()).toBeDefined();
  planner.recordCachedBlocks(engineId, workloadId, createBlocks('a', 1));
  expect(planner.startNextExport()).toBeUndefined();
});

test('a full store VM evicts the blocks least likely to be reused, and none for a less valuable block', () => {
  const planner = createPlanner(createView('s1', { capacityBytes: 400 }));
  for (let i = 0; i < 200; i += 1) planner.reuseModel.recordReuse(workloadId, MINUTE_MS);
  for (let i = 0; i < 20; i += 1) planner.reuseModel.recordIdle(workloadId, 240 * MINUTE_MS);
  planner.recordCachedBlocks(engineId, workloadId, createBlocks('old', 2));
  exportAll(planner);
  vi.advanceTimersByTime(120 * MINUTE_MS);
  planner.recordCachedBlocks(engineId, workloadId, createBlocks('new', 3));
  const drops = exportAll(planner).flatMap((task) =>
    task.evictedBlocks.map(({ key }) => key as string),
  );
  expect(drops).toHaveLength(1);
  expect(drops[0]).toMatch(/^old/);
});

test('copies are not listed for drained zones, failing store VMs and faulty blocks', () => {
  const planner = createPlanner(createView('s1'));
  planner.recordCachedBlocks(engineId, workloadId, createBlocks('a', 1));
  exportAll(planner);
  const key = toId<BlockKey>('a0');
  const storeId = toId<UpstreamId>('s1');
  planner.updateStore(createView('s1', { eligible: false }));
  expect(planner.listCopies(key)).toHaveLength(0);
  planner.updateStore(createView('s1'));
  for (let i = 0; i < 3; i += 1)
    planner.finishImport(storeId, planner.beginImport(storeId, 100)!, false);
  expect(planner.estimateImportMs(storeId, engineId, 100)).toBe(Number.POSITIVE_INFINITY);
  vi.advanceTimersByTime(10_000);
  expect(planner.listCopies(key)).toHaveLength(1);
  planner.finishImport(storeId, planner.beginImport(storeId, 100)!, true, [key]);
  expect(planner.listCopies(key)).toHaveLength(0);
});

test('a manifest after a restart keeps only committed blocks', () => {
  const planner = createPlanner(createView('s1'));
  planner.recordCachedBlocks(engineId, workloadId, createBlocks('a', 3));
  exportAll(planner);
  const catalog = planner.getCatalog(toId<UpstreamId>('s1'))!;
  const base = { length: 100, checksum: 'c', generation: 1, state: 'committed' as const };
  catalog.applyManifest('i2', [
    { ...base, name: 'a0' },
    { ...base, name: 'a1', generation: 0 },
  ]);
  expect(catalog.list().map(({ block }) => [block.key, block.incarnation])).toEqual([['a0', 'i2']]);
});

test('exports are limited to their link share during imports', () => {
  const link = new LinkBudget(1000);
  const prompt = link.beginImport(1000);
  expect(link.tryBeginExport(500)).toBeUndefined();
  vi.advanceTimersByTime(2000);
  const transfer = link.tryBeginExport(500);
  expect(transfer).toBeDefined();
  expect(link.tryBeginExport(500)).toBeUndefined();
  link.finish(prompt, true);
  link.finish(transfer!, true);
  expect(link.tryBeginExport(500)).toBeDefined();
});

test('import estimates follow the current link share and the observed rate', () => {
  const link = new LinkBudget(1000);
  expect(link.estimateImportMs(1000)).toBe(1000);
  const first = link.beginImport(1000);
  expect(link.estimateImportMs(1000)).toBe(2000);
  vi.advanceTimersByTime(10_000);
  link.finish(first, true);
  expect(link.estimateImportMs(1000)).toBeGreaterThan(1100);
});

test('concurrent calls with the same key share one run', async () => {
  const flights = new SingleFlight<string, number>();
  const action = vi.fn(() => Promise.resolve(7));
  expect(await Promise.all([flights.run('k', action), flights.run('k', action)])).toEqual([7, 7]);
  expect(action).toHaveBeenCalledTimes(1);
  expect(flights.size).toBe(0);
});

test('warm-up selects the blocks most likely to be reused, early blocks first', () => {
  const planner = createPlanner(createView('s1'));
  planner.recordCachedBlocks(engineId, workloadId, createBlocks('a', 3));
  exportAll(planner);
  vi.advanceTimersByTime(300 * MINUTE_MS);
  planner.recordCachedBlocks(engineId, workloadId, createBlocks('b', 3));
  exportAll(planner);
  expect(planner.planWarmUp(3).map(({ block }) => block.key)).toEqual(['b0', 'b1', 'b2']);
});
