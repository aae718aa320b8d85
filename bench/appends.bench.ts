import FakeTimers from '@sinonjs/fake-timers';
import { createAppendBudget, createBatchingAppender } from '@goldcrestscale/core';
import type { AppendPriority } from '@goldcrestscale/core';
import type { Benchmark, Measurement } from './measurement.js';
import { DelayedLog } from './delayedLog.js';

const BUDGET_PER_SECOND = 40;
const RECORDS_PER_SECOND = 30;
const RUN_MS = 30_000;
const MAX_TABLE_P99_MS = 100;
const PRIORITIES: readonly AppendPriority[] = ['table', 'lease', 'once', 'snapshot', 'observation'];

/** Results for the records of one stream. */
interface StreamMetrics {
  readonly refusedShare: number;
  readonly p99Ms: number;
}

const computeMetrics = (waitsMs: readonly (number | undefined)[]): StreamMetrics => {
  const succeededMs = waitsMs
    .filter((waitMs) => waitMs !== undefined)
    .sort((left, right) => left - right);
  return {
    refusedShare: 1 - succeededMs.length / waitsMs.length,
    p99Ms: succeededMs[Math.floor(succeededMs.length * 0.99)] ?? Number.NaN,
  };
};

/** Appends to every stream at the same rate; the total exceeds the append budget. */
const runStreams = async (): Promise<ReadonlyMap<AppendPriority, StreamMetrics>> => {
  const clock = FakeTimers.install({
    now: 1_700_000_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance'],
  });
  try {
    const budget = createAppendBudget(BUDGET_PER_SECOND);
    const gapMs = 1_000 / RECORDS_PER_SECOND;
    const streams = PRIORITIES.map((priority) => {
      const appender = createBatchingAppender({ stream: new DelayedLog(), priority, budget });
      return { priority, appender, waitsMs: [] as Promise<number | undefined>[] };
    });
    for (let atMs = 0; atMs < RUN_MS; atMs += gapMs) {
      streams.forEach(({ appender, waitsMs }) => {
        const startedAtMs = performance.now();
        const waitMs = appender.append({}).then(
          () => performance.now() - startedAtMs,
          () => undefined,
        );
        waitsMs.push(waitMs);
      });
      await clock.tickAsync(gapMs);
    }
    await clock.tickAsync(5_000);
    const metrics = streams.map(
      async ({ priority, waitsMs }) =>
        [priority, computeMetrics(await Promise.all(waitsMs))] as const,
    );
    return new Map(await Promise.all(metrics));
  } finally {
    clock.uninstall();
  }
};

/** Refusals and latency by priority when the append budget is exceeded. */
const benchmark: Benchmark = {
  name: 'appends',
  async run() {
    const measurements: Measurement[] = [];
    (await runStreams()).forEach(({ refusedShare, p99Ms }, priority) => {
      const isTable = priority === 'table';
      measurements.push(
        {
          name: `appends: refused share, ${priority}`,
          measured: refusedShare,
          ...(isTable ? { bound: 0 } : {}),
        },
        {
          name: `appends: wait p99, ${priority} (ms)`,
          measured: p99Ms,
          ...(isTable ? { bound: MAX_TABLE_P99_MS } : {}),
        },
      );
    });
    return measurements;
  },
};

export default benchmark;
