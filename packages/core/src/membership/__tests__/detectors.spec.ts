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
  const down = new Set<VmId>();
  const vmIds = Array.from({ length: count }, (_, index) => toId<VmId>(`entry-${index}`));
  const detectors = new Map<VmId, FailureDetector>();
  const send = (from: VmId, to: VmId, message: DetectorMessage): void => {
    const wire = encodeDetectorMessage(message);
    setTimeout(() => {
      const received = parseDetectorMessage(wire);
      if (!down.has(from) && !down.has(to) && received) detectors.get(to)?.receive(from, received);
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
    setInterval(() => !down.has(self) && detector.runStep(), DETECTOR_TICK_MS);
  });
  const countRemoved = (vmId: VmId): number =>
    vmIds.filter((id) => !down.has(id) && detectors.get(id)?.getState(vmId) === 'dead').length;
  return { vmIds, detectors, down, countRemoved };
};

test.each(schemes)(
  '%s: a dead VM is removed by all, a returning one is taken in',
  async (...scheme) => {
    const [, create, detectionMs] = scheme;
    const { vmIds, down, countRemoved } = startFleet(9, create);
    const [victim] = vmIds as [VmId];
    await vi.advanceTimersByTimeAsync(10_000);
    vmIds.forEach((vmId) => expect(countRemoved(vmId)).toBe(0));
    down.add(victim);
    await vi.advanceTimersByTimeAsync(detectionMs);
    expect(countRemoved(victim)).toBe(8);
    down.delete(victim);
    await vi.advanceTimersByTimeAsync(40_000);
    vmIds.forEach((vmId) => expect(countRemoved(vmId)).toBe(0));
  },
);

class NaiveDetector extends FullMeshDetector {
  protected override resetTimes(): void {
    this.table.list();
  }
}

const pauseSchemes: [string, (options: DetectorOptions) => FailureDetector, number][] = [
  ['grid probes', (options) => new GridProbingDetector(options), 0],
  ['full mesh', (options) => new FullMeshDetector(options), 0],
  ['naive', (options) => new NaiveDetector(options), 8],
];

test.each(pauseSchemes)('a pause of all detectors, %s: removed', async (_name, create, removed) => {
  const { vmIds, detectors, countRemoved } = startFleet(9, create);
  await vi.advanceTimersByTimeAsync(5_000);
  // The clock jumps while no timer has run, as after SIGSTOP and SIGCONT.
  const now = vi.spyOn(performance, 'now').mockReturnValue(performance.now() + 60_000);
  detectors.forEach((detector) => detector.runStep());
  now.mockRestore();
  expect(countRemoved(vmIds[0] as VmId)).toBe(removed);
});

test('a leaving VM is known as leaving by all', async () => {
  const { vmIds, detectors } = startFleet(30, (options) => new GridProbingDetector(options));
  const [leaver] = vmIds as [VmId];
  await vi.advanceTimersByTimeAsync(2_000);
  detectors.get(leaver)?.leave();
  await vi.advanceTimersByTimeAsync(2_000);
  detectors.forEach((detector) => expect(detector.getState(leaver)).toBe('leaving'));
});

test('malformed detector messages parse to nothing', () => {
  [null, [], [9, 1, 0, '', []], [0, 1, 0, '', [['x', 7, 1]]], 'x'].forEach((value) =>
    expect(parseDetectorMessage(value)).toBeUndefined(),
  );
});
