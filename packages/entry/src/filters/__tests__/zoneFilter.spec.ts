import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '@goldcrestscale/core';
import type { AvailabilityZoneId } from '@goldcrestscale/core';
import type { Exchange } from '../exchange.js';
import { ZoneFilter } from '../zoneFilter.js';

const TTL_MS = 2_000;

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

const createZoneFilter = () => {
  const zone = { isOut: false };
  const filter = new ZoneFilter({
    availabilityZone: toId<AvailabilityZoneId>('zone-a'),
    getTable: () => ({ isZoneOut: () => zone.isOut }),
    entriesTtlMs: TTL_MS,
  });
  const next = vi.fn(() => Promise.resolve());
  const handle = () => filter.handle({} as Exchange, next);
  return { zone, filter, next, handle };
};

test('accepts requests while callers may have the address cached, then refuses', async () => {
  const { zone, filter, next, handle } = createZoneFilter();
  zone.isOut = true;
  filter.updateZoneState();
  vi.advanceTimersByTime(TTL_MS);
  await handle();
  expect(next).toHaveBeenCalledTimes(1);
  vi.advanceTimersByTime(1);
  await expect(handle()).rejects.toMatchObject({ code: 'zone_out', verdict: 'not-run' });
  expect(next).toHaveBeenCalledTimes(1);
});

test('accepts requests again once the zone is back in service', async () => {
  const { zone, filter, next, handle } = createZoneFilter();
  zone.isOut = true;
  filter.updateZoneState();
  vi.advanceTimersByTime(TTL_MS + 1);
  zone.isOut = false;
  await handle();
  expect(next).toHaveBeenCalledTimes(1);
});
