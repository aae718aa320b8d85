import FakeTimers from '@sinonjs/fake-timers';
import {
  LogIdempotencyGuard,
  ShardServer,
  createBatchingAppender,
  createRandomGenerator,
  toId,
} from '@goldcrestscale/core';
import type {
  BootId,
  ClientAccountId,
  IdempotencyKey,
  KeyedRequest,
  VmId,
} from '@goldcrestscale/core';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { DirectAppender } from './directAppender.js';
import { SlowLog } from './slowLog.js';
import { SlowShardAccess } from './slowShardAccess.js';

/** Claims of nine entry VMs in virtual time, with the log's and the links' delays. */

const VM_COUNT = 9;
const RUN_MS = 30;
const WARM_UP_MS = 2_000;
const MEASURED_MS = 20_000;
const SEED = 1;

/** Kinds of appender that are compared. */
export type AppenderKind = 'batching' | 'direct';

/** Figures of one run. */
export interface OnceFigures {
  readonly appendsPerRequest: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly refused: number;
}

const createServers = (
  kind: AppenderKind,
  logs: readonly SlowLog[],
  signal: AbortSignal,
): ShardServer[] =>
  logs.map((stream) => {
    const appender =
      kind === 'direct'
        ? new DirectAppender(stream)
        : createBatchingAppender({ stream, priority: 'once', signal });
    const window = { windowMs: 3_600_000, maxClockSkewMs: 60_000 };
    const server = new ShardServer({
      stream,
      appender,
      window,
      generator: createRandomGenerator(SEED),
    });
    server.follow(signal).catch(() => undefined);
    return server;
  });

/** Creates a key from the paused time and a count, so that each run picks the same shards. */
const createCountedKey = (count: number): IdempotencyKey => {
  const time = Math.trunc(Date.now()).toString(16).padStart(12, '0');
  const tail = count.toString(16).padStart(12, '0');
  return toId(`${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`);
};

/** Makes one request; gives the latency of its claim, or undefined where it was refused. */
const runRequest = async (
  guard: LogIdempotencyGuard,
  count: number,
): Promise<number | undefined> => {
  const request: KeyedRequest = {
    accountId: toId<ClientAccountId>('yard'),
    key: createCountedKey(count),
    digest: toId<KeyedRequest['digest']>('digest'),
  };
  const startedAtMs = performance.now();
  try {
    const claim = await guard.claim(request, new AbortController().signal);
    if (claim.type !== 'run' || !claim.permit.begin()) throw new Error('expected a permit');
    const { permit } = claim;
    setTimeout(() => permit.finish({ verdict: 'ran' }), RUN_MS);
    return performance.now() - startedAtMs;
  } catch {
    return undefined;
  }
};

const pickPercentile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;

/** Runs unrepeatable requests at a rate with open-loop arrivals. */
export const runOnceSite = async (
  kind: AppenderKind,
  shardCount: number,
  requestsPerSecond: number,
): Promise<OnceFigures> => {
  const clock = FakeTimers.install({
    now: 1_700_000_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance'],
  });
  const ending = new AbortController();
  const generator = createRandomGenerator(SEED);
  const logs = Array.from({ length: shardCount }, () => new SlowLog());
  const access = new SlowShardAccess(createServers(kind, logs, ending.signal));
  const guards = Array.from({ length: VM_COUNT }, (_, index) => {
    const vmId = toId<VmId>(`vm-${index}`);
    const bootId = toId<BootId>('boot');
    return new LogIdempotencyGuard({ access, vmId, bootId, generator, signal: ending.signal });
  });
  const measured: Promise<number | undefined>[] = [];
  let count = 0;
  let measuring = false;
  const scheduleNext = (): void => {
    const gapMs = (-Math.log(1 - uniformFloat64(generator)) * 1_000) / requestsPerSecond;
    setTimeout(() => {
      const guard = guards[count % VM_COUNT];
      count += 1;
      const latency = guard && runRequest(guard, count);
      if (latency && measuring) measured.push(latency);
      if (!ending.signal.aborted) scheduleNext();
    }, gapMs);
  };
  try {
    await clock.tickAsync(100);
    scheduleNext();
    await clock.tickAsync(WARM_UP_MS);
    const before = logs.reduce((sum, log) => sum + log.appends, 0);
    measuring = true;
    await clock.tickAsync(MEASURED_MS);
    measuring = false;
    const appends = logs.reduce((sum, log) => sum + log.appends, 0) - before;
    await clock.tickAsync(WARM_UP_MS);
    const latencies = await Promise.all(measured);
    const sorted = latencies
      .filter((latency) => latency !== undefined)
      .sort((left, right) => left - right);
    return {
      appendsPerRequest: appends / measured.length,
      p50Ms: pickPercentile(sorted, 0.5),
      p99Ms: pickPercentile(sorted, 0.99),
      refused: latencies.length - sorted.length,
    };
  } finally {
    ending.abort();
    clock.uninstall();
  }
};
