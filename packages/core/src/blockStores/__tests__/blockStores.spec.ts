import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { OperatorState } from '../../deployment/index.js';
import type { BlockStoreSettings } from '../../deployment/index.js';
import { toId, toWeightNumber } from '../../ids.js';
import { readClocks } from '../../lease/index.js';
import type { AvailabilityZoneId, ClientAccountId, ModelId } from '../../ids.js';
import {
  BlockDirectory,
  CLOCK_DRIFT_MARGIN_MS,
  FETCH_WINDOW_MS,
  FetchWindow,
  MAX_SAVE_AGE_MS,
  buildBlockKey,
  buildCacheSalt,
  computeFetchTimeMs,
  parseCacheSalt,
} from '../index.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const makeStore = (
  address: string,
  capacityTokens = 10_000,
  linkMbps = 100,
): BlockStoreSettings => ({
  name: address,
  address,
  availabilityZone: toId<AvailabilityZoneId>('z1'),
  capacityTokens,
  linkMbps,
  firstByteMs: 1,
  maxEventReaders: 12,
  managed: true,
});

const ZONE = toId<AvailabilityZoneId>('z1');

/** Time after the begin of an epoch from which parts are saved, with an allowance for clocks that drift. */
const SAVE_DELAY_MS = (FETCH_WINDOW_MS + CLOCK_DRIFT_MARGIN_MS) * 1.02;

/** Lets time pass, at the end of which the stores are known to be in their epochs still. */
const advanceBy = (directory: BlockDirectory, ms: number): void => {
  vi.advanceTimersByTime(ms);
  directory
    .listStores()
    .forEach(({ address }) => directory.recordConfirmation(address, performance.now()));
};

/** Creates a directory of stores whose epoch has been known for longer than the fetch window. */
const createDirectory = (stores: readonly BlockStoreSettings[]): BlockDirectory => {
  const directory = new BlockDirectory();
  directory.updateStores(stores);
  stores.forEach(({ address }) => directory.updateEpoch(address, 1));
  if (stores.length > 0) directory.updateServerClock(performance.now());
  advanceBy(directory, SAVE_DELAY_MS);
  return directory;
};

const put = (directory: BlockDirectory, address: string, partId: string, tokens: number) =>
  directory.applyChange(address, { isPresent: true, salt: 's', partId, tokens });

const KEY = buildBlockKey('s', 'p1');

test('a part is saved once, and again only if no event arrives', () => {
  const directory = createDirectory([makeStore('a')]);
  expect(directory.reserveSaveTarget(KEY, 500, ZONE)).toBe('a');
  expect(directory.reserveSaveTarget(KEY, 500, ZONE)).toBeUndefined();
  advanceBy(directory, 4_001);
  expect(directory.reserveSaveTarget(KEY, 500, ZONE)).toBe('a');
  put(directory, 'a', 'p1', 500);
  advanceBy(directory, 4_001);
  expect(directory.reserveSaveTarget(KEY, 500, ZONE)).toBeUndefined();
});

test('a store without free capacity is skipped', () => {
  const directory = createDirectory([makeStore('small', 100), makeStore('large', 100_000)]);
  expect(directory.reserveSaveTarget(KEY, 500, ZONE)).toBe('large');
  put(directory, 'large', 'fill', 99_000);
  expect(directory.reserveSaveTarget(buildBlockKey('s', 'p2'), 500, ZONE)).toBeUndefined();
});

test('a partially stored part is not fetched', () => {
  const directory = createDirectory([makeStore('a')]);
  put(directory, 'a', 'p1', 300);
  expect(directory.findFetchSource(KEY, 500)).toBeUndefined();
  put(directory, 'a', 'p1', 500);
  expect(directory.findFetchSource(KEY, 500)?.address).toBe('a');
});

test('a part is fetched over the fastest link', () => {
  const directory = createDirectory([makeStore('slow', 10_000, 10), makeStore('fast', 10_000, 90)]);
  put(directory, 'slow', 'p1', 500);
  put(directory, 'fast', 'p1', 500);
  expect(directory.findFetchSource(KEY, 500)?.address).toBe('fast');
});

test('a store starts empty in a new epoch', () => {
  const directory = createDirectory([makeStore('a')]);
  put(directory, 'a', 'p1', 500);
  expect(directory.updateEpoch('a', 1)).toBe(false);
  expect(directory.updateEpoch('a', 2)).toBe(true);
  expect(directory.findFetchSource(KEY, 500)).toBeUndefined();
});

// Guards against a part that is saved while another VM fetches what the store held before (MIXED).
test.each(['the first', 'another'])('nothing is saved at once in %s epoch', (text) => {
  const directory = createDirectory(text === 'another' ? [makeStore('a')] : []);
  directory.updateServerClock(performance.now());
  directory.updateStores([makeStore('a')]);
  directory.updateEpoch('a', 2);
  advanceBy(directory, FETCH_WINDOW_MS + CLOCK_DRIFT_MARGIN_MS);
  expect(directory.reserveSaveTarget(KEY, 500, ZONE)).toBeUndefined();
  advanceBy(directory, SAVE_DELAY_MS);
  expect(directory.reserveSaveTarget(KEY, 500, ZONE)).toBe('a');
});

// Guards against saves of a VM that is cut off and has not learned what the store holds by now.
test('nothing is saved to a store of which nothing has been heard for long', () => {
  const directory = createDirectory([makeStore('a')]);
  vi.advanceTimersByTime(MAX_SAVE_AGE_MS + 10);
  expect(directory.reserveSaveTarget(KEY, 500, ZONE)).toBeUndefined();
  advanceBy(directory, 0);
  expect(directory.reserveSaveTarget(KEY, 500, ZONE)).toBe('a');
});

test('a store that did not respond for a while, but did not restart, is saved to at once', () => {
  const directory = createDirectory([makeStore('a')]);
  directory.clearStore('a');
  expect(directory.reserveSaveTarget(KEY, 500, ZONE)).toBeUndefined();
  directory.updateEpoch('a', 1);
  expect(directory.reserveSaveTarget(KEY, 500, ZONE)).toBe('a');
});

test('a fetch ends within the fetch window, on the clock of the store', () => {
  const directory = createDirectory([makeStore('a')]);
  put(directory, 'a', 'p1', 500);
  vi.advanceTimersByTime(1_000);
  expect(directory.computeMaxFetchMs('a')).toBeCloseTo(FETCH_WINDOW_MS - 1_000, 0);
  expect(directory.findProof('a')?.epoch).toBe(1);
  expect(directory.findProof('a')?.ageMs).toBeCloseTo(1_000, 0);
  vi.advanceTimersByTime(FETCH_WINDOW_MS - 999);
  expect(directory.computeMaxFetchMs('a')).toBe(0);
  expect(directory.findFetchSource(KEY, 500)).toBeUndefined();
  advanceBy(directory, 0);
  expect(directory.findFetchSource(KEY, 500)?.address).toBe('a');
});

test('the server clock is taken from the least delayed reading', () => {
  const directory = createDirectory([]);
  expect(directory.computeServerTimeMs(0)).toBeUndefined();
  directory.updateServerClock(performance.now() + 50_000);
  directory.updateServerClock(performance.now() + 49_700);
  expect(directory.computeServerTimeMs(100)).toBe(Math.round(performance.now() + 50_100));
});

test('a cache salt is parsed back into the same namespace', () => {
  fc.assert(
    fc.property(
      fc.stringMatching(/^[a-z0-9]{1,12}$/),
      fc.nat(1_000),
      fc.option(fc.stringMatching(/^[a-z0-9~]{1,12}$/), { nil: undefined }),
      (model, weights, account) => {
        const identity = {
          model: toId<ModelId>(model),
          weights: toWeightNumber(weights),
          isolatedAccount: account === undefined ? undefined : toId<ClientAccountId>(account),
        };
        expect(parseCacheSalt(buildCacheSalt(identity))).toEqual(identity);
      },
    ),
  );
});

const MODEL = toId<ModelId>('m');
const OLD_WEIGHTS = toWeightNumber(1);
const NEW_WEIGHTS = toWeightNumber(2);
const salt = buildCacheSalt({ model: MODEL, weights: OLD_WEIGHTS, isolatedAccount: undefined });

test('every fetch of a partitioned VM ends before another VM may free the blocks', () => {
  const connectedState = new OperatorState();
  const isolatedState = new OperatorState();
  const freeingWindow = new FetchWindow(connectedState);
  const fetchingWindow = new FetchWindow(isolatedState);
  fetchingWindow.recordConfirmation(readClocks());
  connectedState.apply({ kind: 'weights', model: MODEL, wanted: NEW_WEIGHTS });
  let lastFetchEndsAtMs = 0;
  for (let step = 0; step < 100 && !freeingWindow.canFree(salt); step += 1) {
    const endsAtMs = performance.now() + fetchingWindow.computeMaxFetchMs(MODEL, OLD_WEIGHTS);
    lastFetchEndsAtMs = Math.max(lastFetchEndsAtMs, endsAtMs);
    vi.advanceTimersByTime(50);
  }
  expect(freeingWindow.canFree(salt)).toBe(true);
  expect(lastFetchEndsAtMs).toBeLessThan(performance.now());
  expect(fetchingWindow.computeMaxFetchMs(MODEL, OLD_WEIGHTS)).toBe(0);
});

test('the time that a VM was suspended counts towards the fetch window', () => {
  const fetchWindow = new FetchWindow(new OperatorState());
  fetchWindow.recordConfirmation(readClocks());
  expect(fetchWindow.computeMaxFetchMs(MODEL, OLD_WEIGHTS)).toBe(FETCH_WINDOW_MS);
  // While a machine is suspended its wall clock advances, but its monotonic clock does not.
  vi.setSystemTime(Date.now() + FETCH_WINDOW_MS);
  expect(fetchWindow.computeMaxFetchMs(MODEL, OLD_WEIGHTS)).toBe(0);
});

test('a VM that knows of newer weights stops fetching older blocks before they are freed', () => {
  const state = new OperatorState();
  const fetchWindow = new FetchWindow(state);
  state.apply({ kind: 'weights', model: MODEL, wanted: NEW_WEIGHTS });
  fetchWindow.recordConfirmation(readClocks());
  vi.advanceTimersByTime(FETCH_WINDOW_MS);
  fetchWindow.recordConfirmation(readClocks());
  expect(fetchWindow.computeMaxFetchMs(MODEL, OLD_WEIGHTS)).toBe(0);
  expect(fetchWindow.computeMaxFetchMs(MODEL, NEW_WEIGHTS)).toBe(FETCH_WINDOW_MS);
  expect(fetchWindow.canFree(salt)).toBe(false);
  vi.advanceTimersByTime(400);
  expect(fetchWindow.canFree(salt)).toBe(true);
});

test('a second weight change does not reallow fetches of blocks superseded by the first', () => {
  const state = new OperatorState();
  const fetchWindow = new FetchWindow(state);
  fetchWindow.recordConfirmation(readClocks());
  [2, 3].forEach((wanted) => {
    state.apply({ kind: 'weights', model: MODEL, wanted: toWeightNumber(wanted) });
    fetchWindow.recordConfirmation(readClocks());
    vi.advanceTimersByTime(FETCH_WINDOW_MS);
  });
  state.apply({ kind: 'weights', model: MODEL, wanted: toWeightNumber(4) });
  fetchWindow.recordConfirmation(readClocks());
  expect(fetchWindow.computeMaxFetchMs(MODEL, OLD_WEIGHTS)).toBe(0);
  expect(fetchWindow.computeMaxFetchMs(MODEL, NEW_WEIGHTS)).toBe(0);
  expect(fetchWindow.computeMaxFetchMs(MODEL, toWeightNumber(4))).toBe(FETCH_WINDOW_MS);
});

test('a VM that starts after a weight change does not fetch blocks of the older weights', () => {
  const state = new OperatorState();
  const fetchWindow = new FetchWindow(state);
  state.apply({ kind: 'weights', model: MODEL, wanted: NEW_WEIGHTS });
  fetchWindow.recordConfirmation(readClocks());
  expect(fetchWindow.computeMaxFetchMs(MODEL, OLD_WEIGHTS)).toBe(0);
  expect(fetchWindow.computeMaxFetchMs(MODEL, NEW_WEIGHTS)).toBe(FETCH_WINDOW_MS);
});

test('blocks of current weights or with an unknown salt are never freed', () => {
  const state = new OperatorState();
  const fetchWindow = new FetchWindow(state);
  state.apply({ kind: 'weights', model: MODEL, wanted: OLD_WEIGHTS });
  vi.advanceTimersByTime(60_000);
  expect(fetchWindow.canFree(salt)).toBe(false);
  expect(fetchWindow.canFree('something else')).toBe(false);
});

test('fetch time adds first-byte latency and transfer time, doubled across zones', () => {
  const store = makeStore('a', 10_000, 1_000);
  const size = { tokens: 1_000, bytesPerToken: 1_000 };
  const otherZone = toId<AvailabilityZoneId>('z2');
  expect(computeFetchTimeMs(store, size, store.availabilityZone)).toBeCloseTo(9);
  expect(computeFetchTimeMs(store, size, otherZone)).toBeCloseTo(17);
});

test('parts are saved preferably in the zone of the engine', () => {
  const otherZone = toId<AvailabilityZoneId>('z2');
  const stores = [0, 1, 2].map((index) => makeStore(`far-${index}`, 100_000));
  const near = { ...makeStore('near', 100_000), availabilityZone: otherZone };
  const directory = createDirectory([...stores, near]);
  const targets = Array.from({ length: 300 }, (_, index) =>
    directory.reserveSaveTarget(buildBlockKey('s', `part-${index}`), 10, otherZone),
  );
  const nearCount = targets.filter((target) => target === 'near').length;
  expect(nearCount).toBeGreaterThan(150);
  expect(nearCount).toBeLessThan(300);
});

// Guards against a store that is taken for faulty because its new size is not known.
test('a store that was enlarged may list more', () => {
  const directory = createDirectory([makeStore('a', 1_000)]);
  directory.applyChange('a', { isPresent: true, salt: 's', partId: '1', tokens: 2_000 });
  expect(directory.explainExcess('a')).toContain('room for 1000');
  directory.updateStores([makeStore('a', 4_000)]);
  expect(directory.explainExcess('a')).toBeUndefined();
});

// Guards against blocks that take no room and are listed without end.
test('a block without tokens is not listed', () => {
  const directory = createDirectory([makeStore('a')]);
  directory.applyChange('a', { isPresent: true, salt: 's', partId: '1', tokens: 0 });
  expect(directory.listBlocks('a')).toEqual([]);
});
