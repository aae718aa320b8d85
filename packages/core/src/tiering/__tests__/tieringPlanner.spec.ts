import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { AvailabilityZoneId, BlockKey, UpstreamId, WorkloadId } from '../../ids.js';
import { LinkBudget } from '../linkBudget.js';
import { ReturnModel } from '../returnModel.js';
import { SingleFlight } from '../singleFlight.js';
import type { StoreView } from '../storeCatalog.js';
import { TieringPlanner } from '../tieringPlanner.js';
import type { ExportOrder } from '../tieringPlanner.js';
import { VisitTracker } from '../visitTracker.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const MINUTE_MS = 60_000;
const w = toId<WorkloadId>('w');
const engine = toId<UpstreamId>('e');
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
const finish = (planner: TieringPlanner, order: ExportOrder) => {
  const { key, bytes } = order.candidate;
  const seal = { length: bytes, checksum: 'c', generation: 1, incarnation: 'i1' };
  const block = { key, storeId: order.storeId, name: key, ...seal };
  planner.finishExport(order, { kind: 'stored', block });
};
const exportAll = (planner: TieringPlanner): ExportOrder[] => {
  const orders: ExportOrder[] = [];
  for (let order = planner.takeNextExport(); order; order = planner.takeNextExport()) {
    orders.push(order);
    finish(planner, order);
    vi.advanceTimersByTime(1000);
  }
  return orders;
};

test('return model learns the gap', () => {
  const model = new ReturnModel();
  for (let i = 0; i < 500; i += 1) model.learnReturn(w, 20 * MINUTE_MS);
  for (let i = 0; i < 500; i += 1) model.learnIdle(w, 24 * 60 * MINUTE_MS);
  expect(model.estimateReturn(w, MINUTE_MS).probability).toBeCloseTo(0.5, 1);
  expect(model.estimateReturn(w, 60 * MINUTE_MS).probability).toBeLessThan(0.1);
  const near = model.estimateReturn(w, 15 * MINUTE_MS).returnsPerHour;
  expect(near).toBeGreaterThan(5 * model.estimateReturn(w, 60 * MINUTE_MS).returnsPerHour);
});

test('visits of a growing prompt count as returns', () => {
  const model = new ReturnModel();
  const visits = new VisitTracker(model, 10);
  for (let i = 1; i < 200; i += 1) {
    visits.noteVisit(w, createBlocks('a', i));
    vi.advanceTimersByTime(10 * MINUTE_MS);
  }
  expect(model.estimateReturn(w, MINUTE_MS).probability).toBeGreaterThan(0.95);
});

test('two copies at two store VMs, no third', () => {
  const planner = createPlanner(createView('s1'), createView('s2'), createView('s3'));
  planner.noteHeld(engine, w, createBlocks('a', 2));
  expect(exportAll(planner)).toHaveLength(4);
  planner.noteHeld(engine, w, createBlocks('a', 2));
  expect(exportAll(planner)).toHaveLength(0);
  expect(planner.listCopies(toId<BlockKey>('a0'))).toHaveLength(2);
});

test('one export of a block to a store VM at a time', () => {
  const planner = createPlanner(createView('s1'));
  planner.noteHeld(engine, w, createBlocks('a', 1));
  expect(planner.takeNextExport()).toBeDefined();
  planner.noteHeld(engine, w, createBlocks('a', 1));
  expect(planner.takeNextExport()).toBeUndefined();
});

test('full store VM drops the least likely return, and nothing for a worse block', () => {
  const planner = createPlanner(createView('s1', { capacityBytes: 400 }));
  for (let i = 0; i < 200; i += 1) planner.returns.learnReturn(w, MINUTE_MS);
  for (let i = 0; i < 20; i += 1) planner.returns.learnIdle(w, 240 * MINUTE_MS);
  planner.noteHeld(engine, w, createBlocks('old', 2));
  exportAll(planner);
  vi.advanceTimersByTime(120 * MINUTE_MS);
  planner.noteHeld(engine, w, createBlocks('new', 3));
  const drops = exportAll(planner).flatMap((order) => order.drops.map(({ key }) => key as string));
  expect(drops).toHaveLength(1);
  expect(drops[0]).toMatch(/^old/);
});

test('zone out, dead and removed store VMs give no copies', () => {
  const planner = createPlanner(createView('s1'));
  planner.noteHeld(engine, w, createBlocks('a', 1));
  exportAll(planner);
  const key = toId<BlockKey>('a0');
  const storeId = toId<UpstreamId>('s1');
  planner.updateStore(createView('s1', { eligible: false }));
  expect(planner.listCopies(key)).toHaveLength(0);
  planner.updateStore(createView('s1'));
  for (let i = 0; i < 3; i += 1)
    planner.finishImport(storeId, planner.beginImport(storeId, 100)!, false);
  expect(planner.estimateImportMs(storeId, engine, 100)).toBe(Number.POSITIVE_INFINITY);
  vi.advanceTimersByTime(10_000);
  expect(planner.listCopies(key)).toHaveLength(1);
  planner.finishImport(storeId, planner.beginImport(storeId, 100)!, true, [key]);
  expect(planner.listCopies(key)).toHaveLength(0);
});

test('manifest after a restart keeps only what was committed', () => {
  const planner = createPlanner(createView('s1'));
  planner.noteHeld(engine, w, createBlocks('a', 3));
  exportAll(planner);
  const catalog = planner.getCatalog(toId<UpstreamId>('s1'))!;
  const base = { length: 100, checksum: 'c', generation: 1, state: 'committed' as const };
  catalog.applyManifest('i2', [
    { ...base, name: 'a0' },
    { ...base, name: 'a1', generation: 0 },
  ]);
  expect(catalog.list().map(({ block }) => [block.key, block.incarnation])).toEqual([['a0', 'i2']]);
});

test('exports wait behind imports, within their share', () => {
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

test('estimate follows the present share and the learned rate', () => {
  const link = new LinkBudget(1000);
  expect(link.estimateMs(1000)).toBe(1000);
  const first = link.beginImport(1000);
  expect(link.estimateMs(1000)).toBe(2000);
  vi.advanceTimersByTime(10_000);
  link.finish(first, true);
  expect(link.estimateMs(1000)).toBeGreaterThan(1100);
});

test('single flight shares one run', async () => {
  const flights = new SingleFlight<string, number>();
  const action = vi.fn(() => Promise.resolve(7));
  expect(await Promise.all([flights.run('k', action), flights.run('k', action)])).toEqual([7, 7]);
  expect(action).toHaveBeenCalledTimes(1);
  expect(flights.size).toBe(0);
});

test('warm-up takes the likeliest returns, early blocks first', () => {
  const planner = createPlanner(createView('s1'));
  planner.noteHeld(engine, w, createBlocks('a', 3));
  exportAll(planner);
  vi.advanceTimersByTime(300 * MINUTE_MS);
  planner.noteHeld(engine, w, createBlocks('b', 3));
  exportAll(planner);
  expect(planner.planWarmUp(3).map(({ block }) => block.key)).toEqual(['b0', 'b1', 'b2']);
});
