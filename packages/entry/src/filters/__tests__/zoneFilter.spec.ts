import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '@goldcrestscale/core';
import type { AvailabilityZoneId } from '@goldcrestscale/core';
import type { Exchange } from '../exchange.js';
import { ZoneFilter } from '../zoneFilter.js';

const TTL_MS = 2_000;

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

const createSubject = () => {
  const zone = { isOut: false };
  const filter = new ZoneFilter({
    availabilityZone: toId<AvailabilityZoneId>('zone-a'),
    table: () => ({ isZoneOut: () => zone.isOut }),
    entriesTtlMs: TTL_MS,
  });
  const next = vi.fn(() => Promise.resolve());
  const handle = () => filter.handle({} as Exchange, next);
  return { zone, filter, next, handle };
};

test('serves while callers may hold the address, then refuses', async () => {
  const { zone, filter, next, handle } = createSubject();
  zone.isOut = true;
  filter.noteTable();
  vi.advanceTimersByTime(TTL_MS);
  await handle();
  expect(next).toHaveBeenCalledTimes(1);
  vi.advanceTimersByTime(1);
  await expect(handle()).rejects.toMatchObject({ code: 'zone_out', verdict: 'not-run' });
  expect(next).toHaveBeenCalledTimes(1);
});

test('serves again once the zone is back', async () => {
  const { zone, filter, next, handle } = createSubject();
  zone.isOut = true;
  filter.noteTable();
  vi.advanceTimersByTime(TTL_MS + 1);
  zone.isOut = false;
  await handle();
  expect(next).toHaveBeenCalledTimes(1);
});
