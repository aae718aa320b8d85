import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';
import { createLatencyBucketsMs } from './latencyBuckets.js';

const MIN_BUCKET_MS = 1;
const MAX_BUCKET_MS = 120_000;
const BUCKETS_PER_OCTAVE = 4;

/** Name, help text and labels of a metric. */
export interface MetricOptions<Label extends string> {
  readonly name: string;
  readonly help: string;
  readonly labelNames?: readonly Label[];
}

/** Name, help text, labels and buckets of a latency histogram. */
export interface LatencyHistogramOptions<Label extends string> extends MetricOptions<Label> {
  /** Upper bounds of the buckets, in milliseconds. @default 1 ms to 2 min, four per octave */
  readonly bucketsMs?: readonly number[];
}

/** Metrics of one process in a separate registry. */
export interface MetricsRegistry {
  readonly registry: Registry;
  createCounter<Label extends string>(options: MetricOptions<Label>): Counter<Label>;
  createGauge<Label extends string>(options: MetricOptions<Label>): Gauge<Label>;
  /** Creates a histogram of durations in milliseconds. */
  createLatencyHistogram<Label extends string>(
    options: LatencyHistogramOptions<Label>,
  ): Histogram<Label>;
  /** Registers the default metrics of Node.js: CPU time, memory, event loop lag. */
  collectDefaults(): void;
  /** Renders all metrics in the Prometheus text format. */
  render(): Promise<string>;
  clear(): void;
}

export const createMetricsRegistry = (): MetricsRegistry => {
  const registry = new Registry();
  const defaultBucketsMs = createLatencyBucketsMs(MIN_BUCKET_MS, MAX_BUCKET_MS, BUCKETS_PER_OCTAVE);
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
    collectDefaults: () => collectDefaultMetrics({ register: registry }),
    render: () => registry.metrics(),
    clear: () => registry.clear(),
  };
};
