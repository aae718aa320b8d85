import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';
import { createLatencyBuckets } from './latencyBuckets.js';

const SHORTEST_LATENCY_MS = 1;
const LONGEST_LATENCY_MS = 120_000;
const BUCKETS_PER_OCTAVE = 4;

/** What a metric is called and how it is divided. */
export interface MetricOptions<Label extends string> {
  readonly name: string;
  readonly help: string;
  readonly labelNames?: readonly Label[];
}

/** What a histogram of latencies is called and how it is divided. */
export interface LatencyOptions<Label extends string> extends MetricOptions<Label> {
  /** Bounds of the buckets, in milliseconds. @default 1 ms to 2 min, four an octave */
  readonly bucketsMs?: readonly number[];
}

/** Metrics of one process, in a registry of their own. */
export interface Metrics {
  readonly registry: Registry;
  createCounter<Label extends string>(options: MetricOptions<Label>): Counter<Label>;
  createGauge<Label extends string>(options: MetricOptions<Label>): Gauge<Label>;
  /** Creates a histogram whose samples are milliseconds. */
  createLatencyHistogram<Label extends string>(options: LatencyOptions<Label>): Histogram<Label>;
  /** Starts the runtime's own metrics: processor time, memory, event loop. */
  collectRuntime(): void;
  /** Renders every metric in the Prometheus text format. */
  render(): Promise<string>;
  /** Removes every metric. */
  clear(): void;
}

/** Creates the metrics of a process. */
export const createMetrics = (): Metrics => {
  const registry = new Registry();
  const defaultBucketsMs = createLatencyBuckets(
    SHORTEST_LATENCY_MS,
    LONGEST_LATENCY_MS,
    BUCKETS_PER_OCTAVE,
  );
  return {
    registry,
    createCounter: (options) => new Counter({ ...options, registers: [registry] }),
    createGauge: (options) => new Gauge({ ...options, registers: [registry] }),
    createLatencyHistogram: ({ bucketsMs, ...options }) =>
      new Histogram({
        ...options,
        buckets: [...(bucketsMs ?? defaultBucketsMs)],
        registers: [registry],
      }),
    collectRuntime: () => collectDefaultMetrics({ register: registry }),
    render: () => registry.metrics(),
    clear: () => registry.clear(),
  };
};
