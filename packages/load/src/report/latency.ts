import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

const MICROSECONDS_PER_MS = 1_000;
const MAX_LATENCY_MICROSECONDS = 3_600_000_000;
const SIGNIFICANT_DIGITS = 3;

/** Summary statistics of a latency distribution, in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Records a latency distribution. */
export interface LatencyRecorder {
  observe(latencyMs: number): void;
  buildSummary(): LatencySummary;
}

const toMs = (microseconds: number): number => Math.round(microseconds) / MICROSECONDS_PER_MS;

const toSummary = (histogram: Histogram): LatencySummary => {
  const count = histogram.totalCount;
  const getPercentile = (percentile: number): number =>
    count === 0 ? 0 : toMs(histogram.getValueAtPercentile(percentile));
  return {
    count,
    meanMs: count === 0 ? 0 : toMs(histogram.mean),
    p50Ms: getPercentile(50),
    p95Ms: getPercentile(95),
    p99Ms: getPercentile(99),
    maxMs: count === 0 ? 0 : toMs(histogram.maxValue),
  };
};

export const createLatencyRecorder = (): LatencyRecorder => {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 'packed',
  });
  return {
    observe: (latencyMs) => {
      const microseconds = Math.round(latencyMs * MICROSECONDS_PER_MS);
      histogram.recordValue(Math.min(Math.max(microseconds, 0), MAX_LATENCY_MICROSECONDS));
    },
    buildSummary: () => toSummary(histogram),
  };
};
