import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId, toLogOffset, VmListSource } from '@goldcrestscale/core';
import type { AvailabilityZoneId, BootId, VmId, VmRecord } from '@goldcrestscale/core';
import { MemoryNetwork } from '../../../mesh/index.js';
import { MembershipController } from '../index.js';

let stop = new AbortController();

beforeEach(() => {
  vi.useFakeTimers();
  stop = new AbortController();
});

afterEach(() => {
  stop.abort();
  vi.useRealTimers();
});

const createVm = (index: number): VmRecord => ({
  vmId: toId<VmId>(`entry-${index}`),
  role: 'entry',
  address: `127.0.0.1:${8_000 + index}`,
  meshAddress: `127.0.0.1:${9_000 + index}`,
  availabilityZone: toId<AvailabilityZoneId>(`zone-${index % 3}`),
  state: 'live',
});

class FakeVmList extends VmListSource {
  isDown = false;

  vms = Array.from({ length: 9 }, (_, index) => createVm(index));

  override list(): Promise<readonly VmRecord[]> {
    return this.isDown ? Promise.reject(new Error('down')) : Promise.resolve(this.vms);
  }
}

const startFleet = async () => {
  const network = new MemoryNetwork();
  const vmList = new FakeVmList();
  const zonesOut = new Set<AvailabilityZoneId>();
  const vmsWithoutLog = new Set<VmId>();
  const controllers = vmList.vms.map(({ vmId }) => {
    const controller = new MembershipController({
      link: network.join({ vmId, bootId: toId<BootId>(`${vmId}-1`) }),
      vmList,
      getZonesOut: () => zonesOut,
      getAppliedOffset: () => toLogOffset(5),
      random: Math.random,
    });
    setInterval(() => {
      if (vmsWithoutLog.has(vmId)) controller.logReports.recordFailure();
      else controller.logReports.recordRead(toLogOffset(5), performance.now());
    }, 500);
    return controller;
  });
  await Promise.all(controllers.map((controller) => controller.start(stop.signal)));
  await vi.advanceTimersByTimeAsync(3_000);
  const [first] = controllers as [MembershipController];
  const vmIds = vmList.vms.map((vm) => vm.vmId);
  return { network, vmList, zonesOut, vmsWithoutLog, controllers, first, vmIds };
};

test('a dead VM is not ranked although the VM list still contains it', async () => {
  const { network, controllers, vmIds } = await startFleet();
  const dead = vmIds[8] as VmId;
  network.remove(dead);
  await vi.advanceTimersByTimeAsync(9_000);
  controllers.slice(0, 8).forEach((controller) => {
    const offered = Array.from({ length: 50 }, (_, index) => controller.rankEntryVms(`k${index}`));
    expect(offered.flat().map((vm) => vm.vmId)).not.toContain(dead);
  });
});

test('a leaving VM is no longer ranked within a second', async () => {
  const { controllers, vmIds } = await startFleet();
  controllers[3]?.leave();
  await vi.advanceTimersByTimeAsync(1_000);
  controllers.forEach((controller) => {
    const offered = Array.from({ length: 50 }, (_, index) => controller.rankEntryVms(`k${index}`));
    expect(offered.flat().map((vm) => vm.vmId)).not.toContain(vmIds[3]);
  });
});

test('a VM that left and terminated is never ranked again', async () => {
  const { network, controllers, vmIds } = await startFleet();
  controllers[3]?.leave();
  await vi.advanceTimersByTimeAsync(2_000);
  network.remove(vmIds[3] as VmId);
  const others = controllers.filter((_, index) => index !== 3);
  for (let second = 0; second < 15; second += 1) {
    await vi.advanceTimersByTimeAsync(1_000);
    const offered = others.flatMap((controller) =>
      Array.from({ length: 20 }, (_, index) => controller.rankEntryVms(`k${index}`)).flat(),
    );
    expect(offered.map((vm) => vm.vmId)).not.toContain(vmIds[3]);
  }
});

test('entry VMs stay ranked while the VM list is unavailable', async () => {
  const { vmList, first } = await startFleet();
  vmList.isDown = true;
  await vi.advanceTimersByTimeAsync(30_000);
  expect(first.rankEntryVms('k')).toHaveLength(3);
});

test('without the log: fresh through peer reports; without peers too: rejects', async () => {
  const { network, vmsWithoutLog, first, vmIds } = await startFleet();
  vmsWithoutLog.add(vmIds[0] as VmId);
  await vi.advanceTimersByTimeAsync(20_000);
  expect(first.decideFreshness()).toEqual({ accept: true, reason: 'fresh' });
  network.partition([vmIds[0] as VmId]);
  await vi.advanceTimersByTimeAsync(20_000);
  expect(first.decideFreshness()).toEqual({ accept: false, reason: 'alone' });
});

test('log down for all VMs: a majority accepts work, a minority rejects', async () => {
  const { network, vmsWithoutLog, controllers, vmIds } = await startFleet();
  vmIds.forEach((vmId) => vmsWithoutLog.add(vmId));
  await vi.advanceTimersByTimeAsync(20_000);
  controllers.forEach((controller) =>
    expect(controller.decideFreshness().reason).toBe('log_down_for_majority'),
  );
  network.partition(vmIds.slice(0, 4));
  await vi.advanceTimersByTimeAsync(20_000);
  expect(controllers.map((controller) => controller.decideFreshness().accept)).toEqual(
    vmIds.map((_, index) => index >= 4),
  );
});

test('a minority without the log does not rely on peer reports that may predate a zone change', async () => {
  const { network, vmsWithoutLog, controllers, vmIds } = await startFleet();
  network.partition(vmIds.slice(0, 2));
  vmIds.slice(0, 2).forEach((vmId) => vmsWithoutLog.add(vmId));
  await vi.advanceTimersByTimeAsync(4_000);
  expect(controllers.map((controller) => controller.decideFreshness().accept)).toEqual(
    vmIds.map((_, index) => index >= 2),
  );
});
