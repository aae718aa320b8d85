import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { UpstreamId } from '../../ids.js';
import { AnnouncedRates } from '../index.js';
import type { RateChange, RateRow } from '../index.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const boot = { upstreamId: toId<UpstreamId>('engine'), startedAtMs: 10 };

const makeRow = (requestsPerSecond: number | undefined, ageMs: number): RateRow => ({
  ...boot,
  requestsPerSecond,
  ageMs,
});

test('a response without an announcement ends the limit', () => {
  const rates = new AnnouncedRates();
  rates.record(boot, 2.2);
  expect(rates.find(boot)?.requestsPerSecond).toBe(2.2);
  vi.advanceTimersByTime(60_000);
  expect(rates.find(boot)?.requestsPerSecond).toBe(2.2);
  rates.record(boot, undefined);
  vi.advanceTimersByTime(501);
  expect(rates.find(boot)).toBeUndefined();
});

test('the lower of two announcements holds for a moment', () => {
  const rates = new AnnouncedRates();
  rates.record(boot, 2);
  vi.advanceTimersByTime(5);
  rates.record(boot, 9);
  expect(rates.find(boot)?.requestsPerSecond).toBe(2);
  vi.advanceTimersByTime(600);
  expect(rates.find(boot)?.requestsPerSecond).toBe(9);
  rates.record(boot, 1);
  expect(rates.find(boot)?.requestsPerSecond).toBe(1);
});

test('a limit belongs to one boot of the upstream', () => {
  const rates = new AnnouncedRates();
  rates.record(boot, 2);
  expect(rates.find({ ...boot, startedAtMs: 11 })).toBeUndefined();
  rates.record({ ...boot, startedAtMs: 11 }, 5);
  rates.record(boot, 1);
  expect(rates.find(boot)).toBeUndefined();
  expect(rates.find({ ...boot, startedAtMs: 11 })?.requestsPerSecond).toBe(5);
});

test('nothing is kept of upstreams that announce no limit', () => {
  const rates = new AnnouncedRates();
  rates.record(boot, undefined);
  expect(rates.takeRows()).toEqual([]);
});

test('an announcement of zero leaves a trial request from time to time', () => {
  const rates = new AnnouncedRates();
  rates.record(boot, 0);
  expect(rates.find(boot)?.requestsPerSecond).toBe(0.25);
});

test('changes are sent at once, and everything again at intervals', () => {
  const rates = new AnnouncedRates();
  rates.record(boot, 2);
  expect(rates.takeRows()).toEqual([makeRow(2, 0)]);
  vi.advanceTimersByTime(100);
  rates.record(boot, 2);
  expect(rates.takeRows()).toEqual([]);
  rates.record(boot, 3);
  expect(rates.takeRows()).toEqual([makeRow(3, 0)]);
  vi.advanceTimersByTime(1_000);
  expect(rates.takeRows()).toEqual([makeRow(3, 1_000)]);
});

test('the end of a limit is sent for a while, then forgotten', () => {
  const rates = new AnnouncedRates();
  rates.record(boot, 2);
  vi.advanceTimersByTime(1_000);
  rates.record(boot, undefined);
  expect(rates.takeRows()).toEqual([makeRow(undefined, 0)]);
  vi.advanceTimersByTime(11_000);
  expect(rates.takeRows()).toEqual([]);
  expect(rates.list()).toEqual([]);
});

test('each change of the limit in force is reported once', () => {
  const changes: RateChange[] = [];
  const rates = new AnnouncedRates((change) => changes.push(change));
  rates.record(boot, 2);
  rates.record(boot, 2);
  vi.advanceTimersByTime(1_000);
  rates.record(boot, undefined);
  vi.advanceTimersByTime(1_000);
  rates.find(boot);
  rates.find(boot);
  expect(changes.map(({ previous, requestsPerSecond }) => [previous, requestsPerSecond])).toEqual([
    [undefined, 2],
    [2, undefined],
  ]);
});

test('VMs agree whatever the order in which they receive announcements', () => {
  const announcement = fc.tuple(
    fc.option(fc.double({ min: 0.3, max: 50, noNaN: true }), { nil: undefined }),
    fc.integer({ min: 0, max: 3_000 }),
  );
  fc.assert(
    fc.property(
      fc.uniqueArray(announcement, { minLength: 1, maxLength: 8, selector: ([, age]) => age }),
      (list) => {
        const rows = list.map(([rate, ageMs]) => makeRow(rate, ageMs));
        const build = (ordered: readonly RateRow[]): AnnouncedRates => {
          const rates = new AnnouncedRates();
          rates.merge([makeRow(1_000, 4_000), ...ordered]);
          return rates;
        };
        const inOrder = build([...rows].sort((left, right) => right.ageMs - left.ageMs));
        const rate = inOrder.find(boot)?.requestsPerSecond;
        expect(build(rows).find(boot)?.requestsPerSecond).toBe(rate);
        expect(build([...rows].reverse()).find(boot)?.requestsPerSecond).toBe(rate);
      },
    ),
  );
});

// Guards against memory for any number of upstreams that other VMs announce rates of.
test('announcements are kept of a bounded number of upstreams', () => {
  const rates = new AnnouncedRates();
  rates.record(boot, 2.2);
  const rows = Array.from({ length: 20_000 }, (_value, index) => ({
    ...makeRow(1, 0),
    upstreamId: toId<UpstreamId>(`unknown-${index}`),
  }));
  rates.merge(rows);
  expect(rates.list()).toHaveLength(8_192);
  rates.record(boot, 1.1);
  expect(rates.find(boot)?.requestsPerSecond).toBe(1.1);
});
