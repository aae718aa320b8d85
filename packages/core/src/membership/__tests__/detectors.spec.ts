import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { VmId } from '../../ids.js';
import {
  DETECTOR_TICK_MS,
  encodeDetectorMessage,
  FullMeshDetector,
  GridHeartbeatDetector,
  GridProbingDetector,
  parseDetectorMessage,
  SwimDetector,
} from '../index.js';
import type { DetectorMessage, DetectorOptions, FailureDetector } from '../index.js';

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

const schemes: [string, (options: DetectorOptions) => FailureDetector, number][] = [
  ['full mesh', (options) => new FullMeshDetector(options), 4_000],
  ['grid heartbeats', (options) => new GridHeartbeatDetector(options), 16_000],
  ['swim', (options) => new SwimDetector(options), 12_000],
  ['grid probes', (options) => new GridProbingDetector(options), 8_000],
];

const startFleet = (count: number, create: (options: DetectorOptions) => FailureDetector) => {
  const generator = xoroshiro128plus(7);
  const stoppedVms = new Set<VmId>();
  const vmIds = Array.from({ length: count }, (_, index) => toId<VmId>(`entry-${index}`));
  const detectors = new Map<VmId, FailureDetector>();
  const send = (from: VmId, to: VmId, message: DetectorMessage): void => {
    const wire = encodeDetectorMessage(message);
    setTimeout(() => {
      const received = parseDetectorMessage(wire);
      if (!stoppedVms.has(from) && !stoppedVms.has(to) && received)
        detectors.get(to)?.receive(from, received);
    }, 2);
  };
  vmIds.forEach((self) => {
    const detector = create({
      self,
      incarnation: 1,
      random: () => uniformFloat64(generator),
      send: (to, message) => send(self, to, message),
    });
    detector.setMembers(vmIds);
    detectors.set(self, detector);
    setInterval(() => !stoppedVms.has(self) && detector.runStep(), DETECTOR_TICK_MS);
  });
  const countDeadViews = (vmId: VmId): number =>
    vmIds.filter((id) => !stoppedVms.has(id) && detectors.get(id)?.getState(vmId) === 'dead')
      .length;
  return { vmIds, detectors, stoppedVms, countDeadViews };
};

test.each(schemes)('%s: all members detect a dead VM and its return', async (...scheme) => {
  const [, create, detectionMs] = scheme;
  const { vmIds, stoppedVms, countDeadViews } = startFleet(9, create);
  const [victim] = vmIds as [VmId];
  await vi.advanceTimersByTimeAsync(10_000);
  vmIds.forEach((vmId) => expect(countDeadViews(vmId)).toBe(0));
  stoppedVms.add(victim);
  await vi.advanceTimersByTimeAsync(detectionMs);
  expect(countDeadViews(victim)).toBe(8);
  stoppedVms.delete(victim);
  await vi.advanceTimersByTimeAsync(40_000);
  vmIds.forEach((vmId) => expect(countDeadViews(vmId)).toBe(0));
});

class UnadjustedDetector extends FullMeshDetector {
  protected override resetTimestamps(): void {
    this.table.list();
  }
}

const pauseSchemes: [string, (options: DetectorOptions) => FailureDetector, number][] = [
  ['grid probes', (options) => new GridProbingDetector(options), 0],
  ['full mesh', (options) => new FullMeshDetector(options), 0],
  ['naive', (options) => new UnadjustedDetector(options), 8],
];

test.each(pauseSchemes)(
  'a simultaneous pause of all detectors, %s',
  async (_name, create, expectedDeadViews) => {
    const { vmIds, detectors, countDeadViews } = startFleet(9, create);
    await vi.advanceTimersByTimeAsync(5_000);
    // The clock jumps without any timer having run, as after SIGSTOP and SIGCONT.
    const now = vi.spyOn(performance, 'now').mockReturnValue(performance.now() + 60_000);
    detectors.forEach((detector) => detector.runStep());
    now.mockRestore();
    expect(countDeadViews(vmIds[0] as VmId)).toBe(expectedDeadViews);
  },
);

test('all members learn that a VM is leaving', async () => {
  const { vmIds, detectors } = startFleet(30, (options) => new GridProbingDetector(options));
  const [leaver] = vmIds as [VmId];
  await vi.advanceTimersByTimeAsync(2_000);
  detectors.get(leaver)?.leave();
  await vi.advanceTimersByTimeAsync(2_000);
  detectors.forEach((detector) => expect(detector.getState(leaver)).toBe('leaving'));
});

test('malformed detector messages are rejected', () => {
  [null, [], [9, 1, 0, '', []], [0, 1, 0, '', [['x', 7, 1]]], 'x'].forEach((value) =>
    expect(parseDetectorMessage(value)).toBeUndefined(),
  );
});
