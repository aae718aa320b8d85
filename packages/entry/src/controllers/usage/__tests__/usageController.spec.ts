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

const VM_IDS = ['a', 'b', 'c'].map((name) => toId<VmId>(name));
const POOL_ID = toId<PoolId>('engine/small');
const CAPACITY = 12;

const createFleet = async (signal: AbortSignal) => {
  const network = new MemoryNetwork();
  const controllers = VM_IDS.map(
    (vmId) =>
      new UsageController({
        link: network.join({ vmId, bootId: toId<BootId>(`${vmId}-boot`) }),
        listEntryVms: () => VM_IDS,
        countCapacity: () => CAPACITY,
        listInFlight: () => [],
      }),
  );
  for (const controller of controllers) await controller.start(signal);
  return { network, controllers };
};

const createRequest = (account: string): AdmissionRequest => ({
  poolId: POOL_ID,
  accountId: toId<ClientAccountId>(account),
  accountWeight: 1,
  workloadId: toId<WorkloadId>('work'),
  workloadWeight: 1,
  priority: 5,
  deadlineAtMs: performance.now() + 60_000,
});

const enqueueRequests = (controller: UsageController, count: number): (() => number) => {
  const started: number[] = [];
  for (let index = 0; index < count; index += 1) {
    controller.queue.acquire(createRequest('large'), new AbortController().signal).then(
      () => started.push(index),
      () => undefined,
    );
  }
  return () => started.length;
};

test('a VM uses the capacity its peers leave, and an equal share when partitioned', async () => {
  const stop = new AbortController();
  const { controllers } = await createFleet(stop.signal);
  await vi.advanceTimersByTimeAsync(500);
  const countJoined = enqueueRequests(controllers[0]!, 50);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(countJoined()).toBe(CAPACITY);
  const { network, controllers: partitioned } = await createFleet(stop.signal);
  network.partition([VM_IDS[0]!], [VM_IDS[1]!], [VM_IDS[2]!]);
  await vi.advanceTimersByTimeAsync(500);
  const countAlone = enqueueRequests(partitioned[0]!, 50);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(countAlone()).toBeGreaterThanOrEqual(CAPACITY / VM_IDS.length);
  expect(countAlone()).toBeLessThanOrEqual(CAPACITY / VM_IDS.length + 1);
  stop.abort();
});

test('the report of a removed peer is dropped', async () => {
  const stop = new AbortController();
  const { network, controllers } = await createFleet(stop.signal);
  enqueueRequests(controllers[1]!, 50);
  await vi.advanceTimersByTimeAsync(500);
  expect(controllers[0]!.dump()).toMatchObject({ heardCount: 2, vmCount: 3, rank: 0 });
  network.remove(VM_IDS[1]!);
  await vi.advanceTimersByTimeAsync(500);
  expect(controllers[0]!.dump()).toMatchObject({ heardCount: 1 });
  stop.abort();
});
