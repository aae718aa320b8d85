import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '@goldcrestscale/core';
import type {
  AdmissionRequest,
  BootId,
  ClientAccountId,
  PoolId,
  VmId,
  WorkloadId,
} from '@goldcrestscale/core';
import { MemoryNetwork } from '../../../mesh/index.js';
import { UsageController } from '../usageController.js';

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

const VMS = ['a', 'b', 'c'].map((name) => toId<VmId>(name));
const POOL = toId<PoolId>('engine/small');
const CAPACITY = 12;

const createFleet = async (signal: AbortSignal) => {
  const network = new MemoryNetwork();
  const controllers = VMS.map(
    (vmId) =>
      new UsageController({
        link: network.join({ vmId, bootId: toId<BootId>(`${vmId}-boot`) }),
        listEntryVms: () => VMS,
        countCapacity: () => CAPACITY,
        listInFlight: () => [],
      }),
  );
  for (const controller of controllers) await controller.start(signal);
  return { network, controllers };
};

const makeRequest = (account: string): AdmissionRequest => ({
  poolId: POOL,
  accountId: toId<ClientAccountId>(account),
  accountWeight: 1,
  workloadId: toId<WorkloadId>('work'),
  workloadWeight: 1,
  priority: 5,
  deadlineAtMs: Date.now() + 60_000,
});

const offerMany = (controller: UsageController, count: number): (() => number) => {
  const started: number[] = [];
  for (let index = 0; index < count; index += 1) {
    controller.queue.acquire(makeRequest('large'), new AbortController().signal).then(
      () => started.push(index),
      () => undefined,
    );
  }
  return () => started.length;
};

test('a VM takes what its peers leave, and an even part without them', async () => {
  const stop = new AbortController();
  const { controllers } = await createFleet(stop.signal);
  await vi.advanceTimersByTimeAsync(500);
  const countJoined = offerMany(controllers[0]!, 50);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(countJoined()).toBe(CAPACITY);
  const { network, controllers: apart } = await createFleet(stop.signal);
  network.partition([VMS[0]!], [VMS[1]!], [VMS[2]!]);
  await vi.advanceTimersByTimeAsync(500);
  const countAlone = offerMany(apart[0]!, 50);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(countAlone()).toBeGreaterThanOrEqual(CAPACITY / VMS.length);
  expect(countAlone()).toBeLessThanOrEqual(CAPACITY / VMS.length + 1);
  stop.abort();
});

test('a peer that is gone falls out', async () => {
  const stop = new AbortController();
  const { network, controllers } = await createFleet(stop.signal);
  offerMany(controllers[1]!, 50);
  await vi.advanceTimersByTimeAsync(500);
  expect(controllers[0]!.dump()).toMatchObject({ heardCount: 2, vmCount: 3, rank: 0 });
  network.remove(VMS[1]!);
  await vi.advanceTimersByTimeAsync(500);
  expect(controllers[0]!.dump()).toMatchObject({ heardCount: 1 });
  stop.abort();
});
