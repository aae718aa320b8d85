import FakeTimers from '@sinonjs/fake-timers';
import { createAppendBudget, createBatchingAppender } from '@goldcrestscale/core';
import type { AppendPriority } from '@goldcrestscale/core';
import type { Benchmark, Measure } from './measure.js';
import { SlowLog } from './slowLog.js';

const BUDGET_PER_SECOND = 40;
const RECORDS_PER_SECOND = 30;
const RUN_MS = 30_000;
const MAX_TABLE_P99_MS = 100;
const PRIORITIES: readonly AppendPriority[] = ['table', 'lease', 'once', 'snapshot', 'observation'];

/** What became of the records of one stream. */
interface StreamFigures {
  readonly refusedShare: number;
  readonly p99Ms: number;
}

const computeFigures = (waits: readonly (number | undefined)[]): StreamFigures => {
  const served = waits.filter((waitMs) => waitMs !== undefined).sort((left, right) => left - right);
  return {
    refusedShare: 1 - served.length / waits.length,
    p99Ms: served[Math.floor(served.length * 0.99)] ?? Number.NaN,
  };
};

/** Offers each stream the same load, together more than the budget, and sees who gets through. */
const runStreams = async (): Promise<ReadonlyMap<AppendPriority, StreamFigures>> => {
  const clock = FakeTimers.install({
    now: 1_700_000_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance'],
  });
  try {
    const budget = createAppendBudget(BUDGET_PER_SECOND);
    const gapMs = 1_000 / RECORDS_PER_SECOND;
    const streams = PRIORITIES.map((priority) => {
      const appender = createBatchingAppender({ stream: new SlowLog(), priority, budget });
      return { priority, appender, waits: [] as Promise<number | undefined>[] };
    });
    for (let atMs = 0; atMs < RUN_MS; atMs += gapMs) {
      streams.forEach(({ appender, waits }) => {
        const startedAtMs = performance.now();
        const wait = appender.append({}).then(
          () => performance.now() - startedAtMs,
          () => undefined,
        );
        waits.push(wait);
      });
      await clock.tickAsync(gapMs);
    }
    await clock.tickAsync(5_000);
    const figures = streams.map(
      async ({ priority, waits }) => [priority, computeFigures(await Promise.all(waits))] as const,
    );
    return new Map(await Promise.all(figures));
  } finally {
    clock.uninstall();
  }
};

/** Which streams give way when the append budget is short. */
const benchmark: Benchmark = {
  name: 'appends',
  async run() {
    const measures: Measure[] = [];
    (await runStreams()).forEach(({ refusedShare, p99Ms }, priority) => {
      const isTable = priority === 'table';
      measures.push(
        {
          name: `appends: refused share, ${priority}`,
          ours: refusedShare,
          ...(isTable ? { bound: 0 } : {}),
        },
        {
          name: `appends: wait p99, ${priority} (ms)`,
          ours: p99Ms,
          ...(isTable ? { bound: MAX_TABLE_P99_MS } : {}),
        },
      );
    });
    return measures;
  },
};

export default benchmark;
