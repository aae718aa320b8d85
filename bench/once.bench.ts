import type { Benchmark, Measurement } from './measurement.js';
import { simulateClaims } from './claimSimulation.js';

const SHARD_COUNT = 2;
const RATES_PER_SECOND = [10, 100, 400];
const TARGET_RATE_PER_SECOND = 400;
const MAX_APPENDS_PER_REQUEST = 0.1;
const MAX_P99_MS = 80;

const runAtRate = async (requestsPerSecond: number): Promise<Measurement[]> => {
  const baseline = await simulateClaims('direct', SHARD_COUNT, requestsPerSecond);
  const measured = await simulateClaims('batching', SHARD_COUNT, requestsPerSecond);
  const isTarget = requestsPerSecond === TARGET_RATE_PER_SECOND;
  return [
    {
      name: `once: appends per request at ${requestsPerSecond}/s`,
      baseline: baseline.appendsPerRequest,
      measured: measured.appendsPerRequest,
      ...(isTarget ? { bound: MAX_APPENDS_PER_REQUEST } : {}),
    },
    {
      name: `once: claim latency p50 at ${requestsPerSecond}/s (ms)`,
      baseline: baseline.p50Ms,
      measured: measured.p50Ms,
    },
    {
      name: `once: claim latency p99 at ${requestsPerSecond}/s (ms)`,
      baseline: baseline.p99Ms,
      measured: measured.p99Ms,
      ...(isTarget ? { bound: MAX_P99_MS } : {}),
    },
    {
      name: `once: refused at ${requestsPerSecond}/s`,
      measured: measured.refusedCount,
      bound: 0,
    },
  ];
};

/** Appends per request and claim latency, compared with one append per record. */
const benchmark: Benchmark = {
  name: 'once',
  async run() {
    const measurements: Measurement[] = [];
    for (const requestsPerSecond of RATES_PER_SECOND)
      measurements.push(...(await runAtRate(requestsPerSecond)));
    return measurements;
  },
};

export default benchmark;
