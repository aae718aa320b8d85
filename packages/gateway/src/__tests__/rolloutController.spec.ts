import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import {
  AnnouncedRates,
  ConditionalLease,
  EntryRoster,
  FleetRateLimits,
  LeaseStream,
  OperatorState,
  PeerLoads,
  UpstreamRegistry,
  toId,
} from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  BootId,
  LeaseStreamPosition,
  LeaseStreamTail,
  VmId,
} from '@goldcrestscale/core';
import { createLogger } from '@goldcrestscale/runtime';
import { RolloutController } from '../controllers/rolloutController.js';
import { TestUpstreamProtocol } from './testProtocols.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

class CountingLeaseStream extends LeaseStream {
  reads = 0;

  override async read(): Promise<LeaseStreamTail> {
    this.reads += 1;
    return { holder: undefined, endOffset: 0, era: 1 };
  }

  override async appendAt(): Promise<LeaseStreamPosition | undefined> {
    throw new Error('not used');
  }
}

const VMS = 12;

const createRoster = (): EntryRoster => {
  const roster = new EntryRoster();
  for (let index = 0; index < VMS; index += 1) {
    roster.recordHeartbeat({
      vmId: toId<VmId>(`vm-${index}`),
      bootId: toId<BootId>('boot'),
      availabilityZone: toId<AvailabilityZoneId>('z1'),
      address: `a:${index}`,
      meshAddress: `m:${index}`,
      meshKey: 'key',
      leaving: false,
      size: 1,
    });
  }
  return roster;
};

/** Runs the idle controller of one VM for some seconds. @returns how often it read the lease */
const countIdleReads = async (vmId: string, roster: EntryRoster): Promise<number> => {
  const announcedRates = new AnnouncedRates();
  const stream = new CountingLeaseStream();
  const controller = new RolloutController({
    self: toId<VmId>(vmId),
    holder: vmId,
    lease: new ConditionalLease({ holder: vmId, stream, durationMs: 3_000, marginMs: 400 }),
    registry: new UpstreamRegistry(new PeerLoads(1_500)),
    announcedRates,
    rateLimits: new FleetRateLimits({
      self: toId<VmId>(vmId),
      rates: announcedRates,
      listServing: () => [],
      sendPermitRequest: () => undefined,
    }),
    operators: new OperatorState(),
    roster,
    protocol: new TestUpstreamProtocol(),
    logger: createLogger({ part: 'test', level: 'error', format: 'json' }),
    onLoadingChange: () => undefined,
  });
  const abortController = new AbortController();
  void controller.run(abortController.signal);
  await vi.advanceTimersByTimeAsync(3_000);
  abortController.abort();
  return stream.reads;
};

test('only the first VMs of the takeover order read the lease while no rollout runs', async () => {
  const reads: number[] = [];
  for (let index = 0; index < VMS; index += 1) {
    reads.push(await countIdleReads(`vm-${index}`, createRoster()));
  }
  expect(reads.filter((count) => count === 1)).toHaveLength(3);
  expect(reads.filter((count) => count === 0)).toHaveLength(VMS - 3);
});

test('a VM that is not in the roster yet does not read the lease', async () => {
  expect(await countIdleReads('vm-new', createRoster())).toBe(0);
});
