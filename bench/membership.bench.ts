import {
  FullMeshDetector,
  GridHeartbeatDetector,
  GridProbingDetector,
  SwimDetector,
} from '@goldcrestscale/core';
import type { DetectorOptions, FailureDetector } from '@goldcrestscale/core';
import type { Benchmark, Measurement } from './measurement.js';
import { simulateTrace } from './membershipSimulation.js';
import type { FailureTrace, TraceResult } from './membershipSimulation.js';

const smallFleetTrace: FailureTrace = {
  vmCount: 9,
  seed: 1,
  durationMs: 60_000,
  delayMinMs: 1,
  delayMaxMs: 3,
  retransmittedShare: 0.01,
  kills: [
    { atMs: 10_000, count: 1 },
    { atMs: 30_000, count: 3 },
  ],
  pauseShare: 0.3,
  pauseMs: 2_000,
};

const targetFleetTrace: FailureTrace = {
  vmCount: 860,
  seed: 2,
  durationMs: 30_000,
  delayMinMs: 1,
  delayMaxMs: 40,
  retransmittedShare: 0.01,
  kills: [
    { atMs: 1_000, count: 1 },
    { atMs: 10_000, count: 20 },
  ],
  pauseShare: 0.05,
  pauseMs: 2_000,
};

/** A full mesh of 860 VMs sends 740,000 messages per second; its trace ends after the first kill. */
const fullMeshTrace: FailureTrace = {
  ...targetFleetTrace,
  durationMs: 5_000,
  kills: targetFleetTrace.kills.slice(0, 1),
};

interface DetectorCandidate {
  readonly name: string;
  readonly create: (options: DetectorOptions) => FailureDetector;
  readonly trace: FailureTrace;
  readonly isSelected: boolean;
}

const candidates: readonly Omit<DetectorCandidate, 'trace'>[] = [
  { name: 'full mesh', create: (options) => new FullMeshDetector(options), isSelected: false },
  { name: 'grid hb', create: (options) => new GridHeartbeatDetector(options), isSelected: false },
  { name: 'swim', create: (options) => new SwimDetector(options), isSelected: false },
  { name: 'grid probe', create: (options) => new GridProbingDetector(options), isSelected: true },
];

const computeQuantile = (values: readonly number[], quantile: number): number => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? NaN;
};

const createMeasurements = (candidate: DetectorCandidate, result: TraceResult): Measurement[] => {
  const allDetectionMs = result.detectionMs.flat();
  const metrics: [string, number, number | undefined][] = [
    ['detection p50 (ms)', computeQuantile(allDetectionMs, 0.5), undefined],
    ['detection max (ms)', computeQuantile(allDetectionMs, 1), 10_000],
    ['not detected', result.undetectedCount, 0],
    ['live VMs removed', result.falseRemovalCount, 0],
    ['messages per VM and second', result.messagesPerVmSecond, undefined],
    ['bytes per VM and second', result.bytesPerVmSecond, 5_000],
    ['detector CPU time (ms per VM and second)', result.cpuMsPerVmSecond, undefined],
  ];
  return metrics.map(([metric, measured, bound]) => ({
    name: `membership ${candidate.trace.vmCount}: ${candidate.name}: ${metric}`,
    measured,
    ...(candidate.isSelected && bound !== undefined ? { bound } : {}),
  }));
};

const runCandidate = (candidate: DetectorCandidate): Measurement[] =>
  createMeasurements(candidate, simulateTrace(candidate.trace, candidate.create));

/** Four failure detectors on the same failure traces; bytes include both directions and headers. */
const benchmark: Benchmark = {
  name: 'membership',
  run: () =>
    Promise.resolve(
      candidates.flatMap((candidate) => [
        ...runCandidate({ ...candidate, trace: smallFleetTrace }),
        ...runCandidate({
          ...candidate,
          trace: candidate.name === 'full mesh' ? fullMeshTrace : targetFleetTrace,
        }),
      ]),
    ),
};

export default benchmark;
