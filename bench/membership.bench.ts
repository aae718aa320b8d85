import {
  FullMeshDetector,
  GridHeartbeatDetector,
  GridProbingDetector,
  SwimDetector,
} from '@goldcrestscale/core';
import type { DetectorOptions, FailureDetector } from '@goldcrestscale/core';
import type { Benchmark, Measure } from './measure.js';
import { runTrace } from './membershipTrace.js';
import type { Trace, TraceResult } from './membershipTrace.js';

const today: Trace = {
  vmCount: 9,
  seed: 1,
  durationMs: 60_000,
  delayMinMs: 1,
  delayMaxMs: 3,
  lateShare: 0.01,
  kills: [
    { atMs: 10_000, count: 1 },
    { atMs: 30_000, count: 3 },
  ],
  pauseShare: 0.3,
  pauseMs: 2_000,
};

const target: Trace = {
  vmCount: 860,
  seed: 2,
  durationMs: 30_000,
  delayMinMs: 1,
  delayMaxMs: 40,
  lateShare: 0.01,
  kills: [
    { atMs: 1_000, count: 1 },
    { atMs: 10_000, count: 20 },
  ],
  pauseShare: 0.05,
  pauseMs: 2_000,
};

/** A full mesh of 860 VMs sends 740,000 messages a second, so its trace ends after the first kill. */
const targetForFullMesh: Trace = { ...target, durationMs: 5_000, kills: target.kills.slice(0, 1) };

interface Scheme {
  readonly name: string;
  readonly create: (options: DetectorOptions) => FailureDetector;
  readonly trace: Trace;
  readonly isChosen: boolean;
}

const schemes: readonly Omit<Scheme, 'trace'>[] = [
  { name: 'full mesh', create: (options) => new FullMeshDetector(options), isChosen: false },
  { name: 'grid hb', create: (options) => new GridHeartbeatDetector(options), isChosen: false },
  { name: 'swim', create: (options) => new SwimDetector(options), isChosen: false },
  { name: 'grid probe', create: (options) => new GridProbingDetector(options), isChosen: true },
];

const computeQuantile = (values: readonly number[], quantile: number): number => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? NaN;
};

const toMeasures = (scheme: Scheme, result: TraceResult): Measure[] => {
  const all = result.detectionMs.flat();
  const figures: [string, number, number | undefined][] = [
    ['detection p50 (ms)', computeQuantile(all, 0.5), undefined],
    ['detection max (ms)', computeQuantile(all, 1), 10_000],
    ['not detected', result.missed, 0],
    ['live VMs removed', result.falselyRemoved, 0],
    ['messages a VM and second', result.messagesPerVmSecond, undefined],
    ['bytes a VM and second', result.bytesPerVmSecond, 5_000],
    ['decision processor (ms a VM and second)', result.processorMsPerVmSecond, undefined],
  ];
  return figures.map(([figure, ours, bound]) => ({
    name: `membership ${scheme.trace.vmCount}: ${scheme.name}: ${figure}`,
    ours,
    ...(scheme.isChosen && bound !== undefined ? { bound } : {}),
  }));
};

const runScheme = (scheme: Scheme): Measure[] =>
  toMeasures(scheme, runTrace(scheme.trace, scheme.create));

/** Failure detection by four schemes on the same traces; sent and received bytes with headers. */
const benchmark: Benchmark = {
  name: 'membership',
  run: () =>
    Promise.resolve(
      schemes.flatMap((scheme) => [
        ...runScheme({ ...scheme, trace: today }),
        ...runScheme({
          ...scheme,
          trace: scheme.name === 'full mesh' ? targetForFullMesh : target,
        }),
      ]),
    ),
};

export default benchmark;
