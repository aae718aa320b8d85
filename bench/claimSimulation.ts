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
import { UnbatchedAppender } from './unbatchedAppender.js';
import { DelayedLog } from './delayedLog.js';
import { DelayedShardAccess } from './delayedShardAccess.js';

/** Simulates idempotency claims of nine entry VMs in virtual time, with log and network latency. */

const VM_COUNT = 9;
const EXECUTION_MS = 30;
const WARM_UP_MS = 2_000;
const MEASURED_MS = 20_000;
const SEED = 1;

/** Appender under test, or the baseline without batching. */
export type AppenderKind = 'batching' | 'direct';

/** Metrics of one simulation. */
export interface ClaimMetrics {
  readonly appendsPerRequest: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly refusedCount: number;
}

const createServers = (
  appenderKind: AppenderKind,
  logs: readonly DelayedLog[],
  signal: AbortSignal,
): ShardServer[] =>
  logs.map((stream) => {
    const appender =
      appenderKind === 'direct'
        ? new UnbatchedAppender(stream)
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

/** Creates a UUIDv7 key from virtual time and a counter, so that every run uses the same shards. */
const createCountedKey = (count: number): IdempotencyKey => {
  const time = Math.trunc(Date.now()).toString(16).padStart(12, '0');
  const tail = count.toString(16).padStart(12, '0');
  return toId(`${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`);
};

/** Runs one request; returns the latency of its claim, or undefined if the claim was refused. */
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
    if (claim.type !== 'run' || !claim.permit.begin()) throw new Error('claim returned no permit');
    const { permit } = claim;
    setTimeout(() => permit.finish({ verdict: 'ran' }), EXECUTION_MS);
    return performance.now() - startedAtMs;
  } catch {
    return undefined;
  }
};

const computeQuantile = (sortedMs: readonly number[], quantile: number): number =>
  sortedMs[Math.min(sortedMs.length - 1, Math.floor(sortedMs.length * quantile))] ?? Number.NaN;

/** Runs non-idempotent requests with open-loop arrivals at a mean rate. */
export const simulateClaims = async (
  appenderKind: AppenderKind,
  shardCount: number,
  requestsPerSecond: number,
): Promise<ClaimMetrics> => {
  const clock = FakeTimers.install({
    now: 1_700_000_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance'],
  });
  const lifetime = new AbortController();
  const generator = createRandomGenerator(SEED);
  const logs = Array.from({ length: shardCount }, () => new DelayedLog());
  const access = new DelayedShardAccess(createServers(appenderKind, logs, lifetime.signal));
  const guards = Array.from({ length: VM_COUNT }, (_, index) => {
    const vmId = toId<VmId>(`vm-${index}`);
    const bootId = toId<BootId>('boot');
    return new LogIdempotencyGuard({ access, vmId, bootId, generator, signal: lifetime.signal });
  });
  const measuredLatencies: Promise<number | undefined>[] = [];
  let count = 0;
  let isMeasuring = false;
  const scheduleNext = (): void => {
    const gapMs = (-Math.log(1 - uniformFloat64(generator)) * 1_000) / requestsPerSecond;
    setTimeout(() => {
      const guard = guards[count % VM_COUNT];
      count += 1;
      const latency = guard && runRequest(guard, count);
      if (latency && isMeasuring) measuredLatencies.push(latency);
      if (!lifetime.signal.aborted) scheduleNext();
    }, gapMs);
  };
  try {
    await clock.tickAsync(100);
    scheduleNext();
    await clock.tickAsync(WARM_UP_MS);
    const appendsBefore = logs.reduce((sum, log) => sum + log.appends, 0);
    isMeasuring = true;
    await clock.tickAsync(MEASURED_MS);
    isMeasuring = false;
    const appends = logs.reduce((sum, log) => sum + log.appends, 0) - appendsBefore;
    await clock.tickAsync(WARM_UP_MS);
    const latenciesMs = await Promise.all(measuredLatencies);
    const sortedMs = latenciesMs
      .filter((latencyMs) => latencyMs !== undefined)
      .sort((left, right) => left - right);
    return {
      appendsPerRequest: appends / measuredLatencies.length,
      p50Ms: computeQuantile(sortedMs, 0.5),
      p99Ms: computeQuantile(sortedMs, 0.99),
      refusedCount: latenciesMs.length - sortedMs.length,
    };
  } finally {
    lifetime.abort();
    clock.uninstall();
  }
};
