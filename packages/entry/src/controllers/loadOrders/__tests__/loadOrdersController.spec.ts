import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { readClocks, LeaseManager, MemoryLog, ORDERS_RESOURCE, toId } from '@goldcrestscale/core';
import type { LeaseHolder, LoadOrder, UpstreamId } from '@goldcrestscale/core';
import { LoadOrdersController, LoadOrderSender } from '../index.js';

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

class RecordingSender extends LoadOrderSender {
  readonly orders: LoadOrder[] = [];

  isSlow = false;

  override async send(order: LoadOrder, canSend: () => boolean): Promise<void> {
    if (this.isSlow) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5_000);
      });
    }
    if (canSend()) this.orders.push(order);
  }
}

const startController = (leases?: LeaseManager) => {
  const stop = new AbortController();
  const sender = new RecordingSender();
  const engine = { upstreamId: toId<UpstreamId>('e1'), model: toId('m') };
  const controller = new LoadOrdersController({
    leases,
    sender,
    listDesiredWeights: () => [{ ...engine, version: toId('v2') } as never],
    listEngineReports: () => [
      { ...engine, weightVersion: toId('v1'), isLoading: false, takenAt: readClocks() } as never,
    ],
    loadsPerMinute: 60,
  });
  controller.start(stop.signal).catch(() => undefined);
  return { sender, stop };
};

test('only the lease holder sends orders, fenced with its epoch', async () => {
  const self: LeaseHolder = { vmId: toId('a'), bootId: toId('a1') };
  const keeper = new LeaseManager(new MemoryLog(), self);
  const { sender, stop } = startController(keeper);
  keeper.follow(stop.signal).catch(() => undefined);
  await vi.advanceTimersByTimeAsync(20_000);
  expect(sender.orders).toHaveLength(0);
  await keeper.renew(stop.signal);
  await vi.advanceTimersByTimeAsync(1_000);
  await keeper.claim([ORDERS_RESOURCE], stop.signal);
  await vi.advanceTimersByTimeAsync(9_000);
  expect(sender.orders[0]?.fencingToken).toBe(keeper.table.getOwner(ORDERS_RESOURCE)?.epoch);
  stop.abort();
});

test('an order delayed past its validity is not sent', async () => {
  const { sender, stop } = startController();
  sender.isSlow = true;
  await vi.advanceTimersByTimeAsync(30_000);
  expect(sender.orders).toHaveLength(0);
  stop.abort();
});
