import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { OperatorState } from '../../deployment/index.js';
import type { BlockStoreSettings } from '../../deployment/index.js';
import { toId, toWeightNumber } from '../../ids.js';
import { getNow } from '../../lease/index.js';
import type { AvailabilityZoneId, ClientAccountId, ModelId } from '../../ids.js';
import {
  BlockDirectory,
  FETCH_WINDOW_MS,
  FetchHorizon,
  buildBlockKey,
  buildCacheSalt,
  computeFetchTime,
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

const createDirectory = (stores: readonly BlockStoreSettings[]): BlockDirectory => {
  const directory = new BlockDirectory();
  directory.replaceStores(stores);
  stores.forEach(({ address }) => directory.noteEpoch(address, 1));
  return directory;
};

const put = (directory: BlockDirectory, address: string, partId: string, tokens: number) =>
  directory.applyChange(address, { isPresent: true, salt: 's', partId, tokens });

const KEY = buildBlockKey('s', 'p1');

test('a part is saved once, and again only if no event arrives', () => {
  const directory = createDirectory([makeStore('a')]);
  expect(directory.takeSaveTarget(KEY, 500, ZONE)).toBe('a');
  expect(directory.takeSaveTarget(KEY, 500, ZONE)).toBeUndefined();
  vi.advanceTimersByTime(4_001);
  expect(directory.takeSaveTarget(KEY, 500, ZONE)).toBe('a');
  put(directory, 'a', 'p1', 500);
  vi.advanceTimersByTime(4_001);
  expect(directory.takeSaveTarget(KEY, 500, ZONE)).toBeUndefined();
});

test('a store without free capacity is skipped', () => {
  const directory = createDirectory([makeStore('small', 100), makeStore('large', 100_000)]);
  expect(directory.takeSaveTarget(KEY, 500, ZONE)).toBe('large');
  put(directory, 'large', 'fill', 99_000);
  expect(directory.takeSaveTarget(buildBlockKey('s', 'p2'), 500, ZONE)).toBeUndefined();
});

test('a partially stored part is not fetched', () => {
  const directory = createDirectory([makeStore('a')]);
  put(directory, 'a', 'p1', 300);
  expect(directory.findStore(KEY, 500)).toBeUndefined();
  put(directory, 'a', 'p1', 500);
  expect(directory.findStore(KEY, 500)?.address).toBe('a');
});

test('a part is fetched over the fastest link', () => {
  const directory = createDirectory([makeStore('slow', 10_000, 10), makeStore('fast', 10_000, 90)]);
  put(directory, 'slow', 'p1', 500);
  put(directory, 'fast', 'p1', 500);
  expect(directory.findStore(KEY, 500)?.address).toBe('fast');
});

test('a store starts empty in a new epoch', () => {
  const directory = createDirectory([makeStore('a')]);
  put(directory, 'a', 'p1', 500);
  expect(directory.noteEpoch('a', 1)).toBe(false);
  expect(directory.noteEpoch('a', 2)).toBe(true);
  expect(directory.findStore(KEY, 500)).toBeUndefined();
});

test('the server clock is taken from the least delayed reading', () => {
  const directory = createDirectory([]);
  expect(directory.computeServerTime(0)).toBeUndefined();
  directory.noteClock(performance.now() + 50_000);
  directory.noteClock(performance.now() + 49_700);
  expect(directory.computeServerTime(100)).toBe(Math.round(performance.now() + 50_100));
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
  const freeingWindow = new FetchHorizon(connectedState);
  const fetchingWindow = new FetchHorizon(isolatedState);
  fetchingWindow.noteProved(getNow());
  connectedState.apply({ kind: 'weights', model: MODEL, wanted: NEW_WEIGHTS });
  let lastFetchEndsAtMs = 0;
  for (let step = 0; step < 100 && !freeingWindow.canFree(salt); step += 1) {
    const endsAtMs = performance.now() + fetchingWindow.computeFetchMs(MODEL, OLD_WEIGHTS);
    lastFetchEndsAtMs = Math.max(lastFetchEndsAtMs, endsAtMs);
    vi.advanceTimersByTime(50);
  }
  expect(freeingWindow.canFree(salt)).toBe(true);
  expect(lastFetchEndsAtMs).toBeLessThan(performance.now());
  expect(fetchingWindow.computeFetchMs(MODEL, OLD_WEIGHTS)).toBe(0);
});

test('the time that a VM was suspended counts towards the fetch window', () => {
  const fetchWindow = new FetchHorizon(new OperatorState());
  fetchWindow.noteProved(getNow());
  expect(fetchWindow.computeFetchMs(MODEL, OLD_WEIGHTS)).toBe(FETCH_WINDOW_MS);
  // While a machine is suspended its wall clock advances, but its monotonic clock does not.
  vi.setSystemTime(Date.now() + FETCH_WINDOW_MS);
  expect(fetchWindow.computeFetchMs(MODEL, OLD_WEIGHTS)).toBe(0);
});

test('a VM that knows of newer weights stops fetching older blocks before they are freed', () => {
  const state = new OperatorState();
  const fetchWindow = new FetchHorizon(state);
  state.apply({ kind: 'weights', model: MODEL, wanted: NEW_WEIGHTS });
  fetchWindow.noteProved(getNow());
  vi.advanceTimersByTime(FETCH_WINDOW_MS);
  fetchWindow.noteProved(getNow());
  expect(fetchWindow.computeFetchMs(MODEL, OLD_WEIGHTS)).toBe(0);
  expect(fetchWindow.computeFetchMs(MODEL, NEW_WEIGHTS)).toBe(FETCH_WINDOW_MS);
  expect(fetchWindow.canFree(salt)).toBe(false);
  vi.advanceTimersByTime(400);
  expect(fetchWindow.canFree(salt)).toBe(true);
});

test('a second weight change does not reallow fetches of blocks superseded by the first', () => {
  const state = new OperatorState();
  const fetchWindow = new FetchHorizon(state);
  fetchWindow.noteProved(getNow());
  [2, 3].forEach((wanted) => {
    state.apply({ kind: 'weights', model: MODEL, wanted: toWeightNumber(wanted) });
    fetchWindow.noteProved(getNow());
    vi.advanceTimersByTime(FETCH_WINDOW_MS);
  });
  state.apply({ kind: 'weights', model: MODEL, wanted: toWeightNumber(4) });
  fetchWindow.noteProved(getNow());
  expect(fetchWindow.computeFetchMs(MODEL, OLD_WEIGHTS)).toBe(0);
  expect(fetchWindow.computeFetchMs(MODEL, NEW_WEIGHTS)).toBe(0);
  expect(fetchWindow.computeFetchMs(MODEL, toWeightNumber(4))).toBe(FETCH_WINDOW_MS);
});

test('a VM that starts after a weight change does not fetch blocks of the older weights', () => {
  const state = new OperatorState();
  const fetchWindow = new FetchHorizon(state);
  state.apply({ kind: 'weights', model: MODEL, wanted: NEW_WEIGHTS });
  fetchWindow.noteProved(getNow());
  expect(fetchWindow.computeFetchMs(MODEL, OLD_WEIGHTS)).toBe(0);
  expect(fetchWindow.computeFetchMs(MODEL, NEW_WEIGHTS)).toBe(FETCH_WINDOW_MS);
});

test('blocks of current weights or with an unknown salt are never freed', () => {
  const state = new OperatorState();
  const fetchWindow = new FetchHorizon(state);
  state.apply({ kind: 'weights', model: MODEL, wanted: OLD_WEIGHTS });
  vi.advanceTimersByTime(60_000);
  expect(fetchWindow.canFree(salt)).toBe(false);
  expect(fetchWindow.canFree('something else')).toBe(false);
});

test('fetch time adds first-byte latency and transfer time, doubled across zones', () => {
  const store = makeStore('a', 10_000, 1_000);
  const size = { tokens: 1_000, bytesPerToken: 1_000 };
  const otherZone = toId<AvailabilityZoneId>('z2');
  expect(computeFetchTime(store, size, store.availabilityZone)).toBeCloseTo(9);
  expect(computeFetchTime(store, size, otherZone)).toBeCloseTo(17);
});

test('parts are saved preferably in the zone of the engine', () => {
  const otherZone = toId<AvailabilityZoneId>('z2');
  const stores = [0, 1, 2].map((index) => makeStore(`far-${index}`, 100_000));
  const near = { ...makeStore('near', 100_000), availabilityZone: otherZone };
  const directory = createDirectory([...stores, near]);
  const targets = Array.from({ length: 300 }, (_, index) =>
    directory.takeSaveTarget(buildBlockKey('s', `part-${index}`), 10, otherZone),
  );
  const nearCount = targets.filter((target) => target === 'near').length;
  expect(nearCount).toBeGreaterThan(150);
  expect(nearCount).toBeLessThan(300);
});
