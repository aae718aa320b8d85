import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { OperatorState } from '../../deployment/index.js';
import type { BlockStoreSettings } from '../../deployment/index.js';
import { toId, toWeightNumber } from '../../ids.js';
import { getNow } from '../../lease/index.js';
import type { AvailabilityZoneId, ClientAccountId, ModelId } from '../../ids.js';
import {
  BlockDirectory,
  FETCH_HORIZON_MS,
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

test('a part is saved once, and again only when no event has come', () => {
  const directory = createDirectory([makeStore('a')]);
  expect(directory.takeSaveTarget(KEY, 500, ZONE)).toBe('a');
  expect(directory.takeSaveTarget(KEY, 500, ZONE)).toBeUndefined();
  vi.advanceTimersByTime(4_001);
  expect(directory.takeSaveTarget(KEY, 500, ZONE)).toBe('a');
  put(directory, 'a', 'p1', 500);
  vi.advanceTimersByTime(4_001);
  expect(directory.takeSaveTarget(KEY, 500, ZONE)).toBeUndefined();
});

test('a store without room is passed over', () => {
  const directory = createDirectory([makeStore('small', 100), makeStore('large', 100_000)]);
  expect(directory.takeSaveTarget(KEY, 500, ZONE)).toBe('large');
  put(directory, 'large', 'fill', 99_000);
  expect(directory.takeSaveTarget(buildBlockKey('s', 'p2'), 500, ZONE)).toBeUndefined();
});

test('a part that is only partly there is not fetched', () => {
  const directory = createDirectory([makeStore('a')]);
  put(directory, 'a', 'p1', 300);
  expect(directory.findStore(KEY, 500)).toBeUndefined();
  put(directory, 'a', 'p1', 500);
  expect(directory.findStore(KEY, 500)?.address).toBe('a');
});

test('the store with the fastest link serves a fetch', () => {
  const directory = createDirectory([makeStore('slow', 10_000, 10), makeStore('fast', 10_000, 90)]);
  put(directory, 'slow', 'p1', 500);
  put(directory, 'fast', 'p1', 500);
  expect(directory.findStore(KEY, 500)?.address).toBe('fast');
});

test('a store in a new run holds nothing', () => {
  const directory = createDirectory([makeStore('a')]);
  put(directory, 'a', 'p1', 500);
  expect(directory.noteEpoch('a', 1)).toBe(false);
  expect(directory.noteEpoch('a', 2)).toBe(true);
  expect(directory.findStore(KEY, 500)).toBeUndefined();
});

test('the servers clock is taken from the least delayed reading', () => {
  const directory = createDirectory([]);
  expect(directory.computeServerTime(0)).toBeUndefined();
  directory.noteClock(performance.now() + 50_000);
  directory.noteClock(performance.now() + 49_700);
  expect(directory.computeServerTime(100)).toBe(Math.round(performance.now() + 50_100));
});

test('a salt keeps its parts apart and can be read again', () => {
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
const OLD = toWeightNumber(1);
const NEW = toWeightNumber(2);
const salt = buildCacheSalt({ model: MODEL, weights: OLD, isolatedAccount: undefined });

test('no fetch of a VM that is cut off ends after another VM may free its blocks', () => {
  const connected = new OperatorState();
  const cut = new OperatorState();
  const freer = new FetchHorizon(connected);
  const fetcher = new FetchHorizon(cut);
  fetcher.noteProved(getNow());
  connected.apply({ kind: 'weights', model: MODEL, wanted: NEW });
  let lastFetchEndsAtMs = 0;
  for (let step = 0; step < 100 && !freer.canFree(salt); step += 1) {
    const endsAtMs = performance.now() + fetcher.computeFetchMs(MODEL, OLD);
    lastFetchEndsAtMs = Math.max(lastFetchEndsAtMs, endsAtMs);
    vi.advanceTimersByTime(50);
  }
  expect(freer.canFree(salt)).toBe(true);
  expect(lastFetchEndsAtMs).toBeLessThan(performance.now());
  expect(fetcher.computeFetchMs(MODEL, OLD)).toBe(0);
});

test('a VM that was suspended counts the time that it missed', () => {
  const horizon = new FetchHorizon(new OperatorState());
  horizon.noteProved(getNow());
  expect(horizon.computeFetchMs(MODEL, OLD)).toBe(FETCH_HORIZON_MS);
  // The wall clock goes on while the machine is suspended; the monotonic one stands still.
  vi.setSystemTime(Date.now() + FETCH_HORIZON_MS);
  expect(horizon.computeFetchMs(MODEL, OLD)).toBe(0);
});

test('a VM that has heard of newer weights stops fetching older blocks before they are freed', () => {
  const state = new OperatorState();
  const horizon = new FetchHorizon(state);
  state.apply({ kind: 'weights', model: MODEL, wanted: NEW });
  horizon.noteProved(getNow());
  vi.advanceTimersByTime(FETCH_HORIZON_MS);
  horizon.noteProved(getNow());
  expect(horizon.computeFetchMs(MODEL, OLD)).toBe(0);
  expect(horizon.computeFetchMs(MODEL, NEW)).toBe(FETCH_HORIZON_MS);
  expect(horizon.canFree(salt)).toBe(false);
  vi.advanceTimersByTime(400);
  expect(horizon.canFree(salt)).toBe(true);
});

test('a second change of weights does not allow fetches of blocks that the first one outdated', () => {
  const state = new OperatorState();
  const horizon = new FetchHorizon(state);
  horizon.noteProved(getNow());
  [2, 3].forEach((wanted) => {
    state.apply({ kind: 'weights', model: MODEL, wanted: toWeightNumber(wanted) });
    horizon.noteProved(getNow());
    vi.advanceTimersByTime(FETCH_HORIZON_MS);
  });
  state.apply({ kind: 'weights', model: MODEL, wanted: toWeightNumber(4) });
  horizon.noteProved(getNow());
  expect(horizon.computeFetchMs(MODEL, OLD)).toBe(0);
  expect(horizon.computeFetchMs(MODEL, NEW)).toBe(0);
  expect(horizon.computeFetchMs(MODEL, toWeightNumber(4))).toBe(FETCH_HORIZON_MS);
});

test('a VM that starts after a change of weights fetches no block of the older ones', () => {
  const state = new OperatorState();
  const horizon = new FetchHorizon(state);
  state.apply({ kind: 'weights', model: MODEL, wanted: NEW });
  horizon.noteProved(getNow());
  expect(horizon.computeFetchMs(MODEL, OLD)).toBe(0);
  expect(horizon.computeFetchMs(MODEL, NEW)).toBe(FETCH_HORIZON_MS);
});

test('blocks of present weights and of foreign salts are never freed', () => {
  const state = new OperatorState();
  const horizon = new FetchHorizon(state);
  state.apply({ kind: 'weights', model: MODEL, wanted: OLD });
  vi.advanceTimersByTime(60_000);
  expect(horizon.canFree(salt)).toBe(false);
  expect(horizon.canFree('something else')).toBe(false);
});

test('a fetch takes the time of its store and link, and twice as long from another zone', () => {
  const store = makeStore('a', 10_000, 1_000);
  const size = { tokens: 1_000, bytesPerToken: 1_000 };
  const elsewhere = toId<AvailabilityZoneId>('z2');
  expect(computeFetchTime(store, size, store.availabilityZone)).toBeCloseTo(9);
  expect(computeFetchTime(store, size, elsewhere)).toBeCloseTo(17);
});

test('a part is saved where its engine is, while there is room', () => {
  const elsewhere = toId<AvailabilityZoneId>('z2');
  const stores = [0, 1, 2].map((index) => makeStore(`far-${index}`, 100_000));
  const near = { ...makeStore('near', 100_000), availabilityZone: elsewhere };
  const directory = createDirectory([...stores, near]);
  const targets = Array.from({ length: 300 }, (_, index) =>
    directory.takeSaveTarget(buildBlockKey('s', `part-${index}`), 10, elsewhere),
  );
  const atNear = targets.filter((target) => target === 'near').length;
  expect(atNear).toBeGreaterThan(150);
  expect(atNear).toBeLessThan(300);
});
