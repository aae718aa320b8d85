import type { Benchmark, Measure } from './measure.js';
import { runOnceSite } from './onceSite.js';

const SHARD_COUNT = 2;
const RATES_PER_SECOND = [10, 100, 400];
const TARGET_RATE_PER_SECOND = 400;
const MAX_APPENDS_PER_REQUEST = 0.1;
const MAX_P99_MS = 80;

const measureRate = async (rate: number): Promise<Measure[]> => {
  const baseline = await runOnceSite('direct', SHARD_COUNT, rate);
  const ours = await runOnceSite('batching', SHARD_COUNT, rate);
  const isTarget = rate === TARGET_RATE_PER_SECOND;
  return [
    {
      name: `once: appends per request at ${rate}/s`,
      baseline: baseline.appendsPerRequest,
      ours: ours.appendsPerRequest,
      ...(isTarget ? { bound: MAX_APPENDS_PER_REQUEST } : {}),
    },
    {
      name: `once: claim latency p50 at ${rate}/s (ms)`,
      baseline: baseline.p50Ms,
      ours: ours.p50Ms,
    },
    {
      name: `once: claim latency p99 at ${rate}/s (ms)`,
      baseline: baseline.p99Ms,
      ours: ours.p99Ms,
      ...(isTarget ? { bound: MAX_P99_MS } : {}),
    },
    { name: `once: refused at ${rate}/s`, ours: ours.refused, bound: 0 },
  ];
};

/** Appends and latency of claims, against one append for each record. */
const benchmark: Benchmark = {
  name: 'once',
  async run() {
    const measures: Measure[] = [];
    for (const rate of RATES_PER_SECOND) measures.push(...(await measureRate(rate)));
    return measures;
  },
};

export default benchmark;
