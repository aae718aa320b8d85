import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import type { AttemptId, BootId, ClientAccountId, IdempotencyKey, VmId } from '../../ids.js';
import { toId, toLogOffset } from '../../ids.js';
import { MemoryLog, createBatchingAppender } from '../../log/index.js';
import type { LogRecord } from '../../log/index.js';
import { createRandomGenerator } from '../../random.js';
import {
  ShardServer,
  ShardState,
  createIdempotencyKey,
  getKeyTimestampMs,
  parseIdempotencyKey,
  pickShard,
  rankShardServers,
} from '../index.js';
import { createAttemptRegistry } from '../attemptRegistry.js';
import { SETTLED_ATTEMPT_RETENTION_MS } from '../constants.js';
import type { ClaimRecord, ShardId } from '../index.js';

const NOW_MS = 1_700_000_000_000;
const WINDOW = { windowMs: 12_000, maxClockSkewMs: 1_000 };

beforeEach(() => {
  vi.useFakeTimers({ now: NOW_MS });
});
afterEach(() => {
  vi.useRealTimers();
});

const accountId = toId<ClientAccountId>('yard');
const createClaim = (key: IdempotencyKey, attempt: string): ClaimRecord => ({
  type: 'claim',
  accountId,
  key,
  attemptId: toId<AttemptId>(attempt),
  digest: 'digest' as ClaimRecord['digest'],
  vmId: toId<VmId>('vm'),
  bootId: toId<BootId>('boot'),
});
const createSettlement = (type: 'outcome' | 'release', key: IdempotencyKey, attemptId: string) => ({
  type,
  accountId,
  key,
  attemptId,
  ...(type === 'outcome' ? { outcome: { verdict: 'ran' } } : {}),
});

test('a key embeds its timestamp', () => {
  const key = createIdempotencyKey(NOW_MS);
  expect(getKeyTimestampMs(key)).toBe(NOW_MS);
  expect(parseIdempotencyKey(key.toUpperCase())).toBe(key);
  expect(parseIdempotencyKey('a3bb189e-8bf9-4888-9912-ace4e6543002')).toBeUndefined();
});

const key = createIdempotencyKey(NOW_MS);
const futureKey = createIdempotencyKey(NOW_MS + 1_500);

test.each([
  ['the first claim wins', [createClaim(key, 'a'), createClaim(key, 'b')], ['won', 'lost'], 'a'],
  [
    'a duplicate claim has no effect',
    [createClaim(key, 'a'), createClaim(key, 'a')],
    ['won', 'won'],
    'a',
  ],
  [
    'a release frees the key',
    [createClaim(key, 'a'), createSettlement('release', key, 'a'), createClaim(key, 'b')],
    ['won', 'won'],
    'b',
  ],
  [
    'a claim that arrives after its release is ignored',
    [createSettlement('release', key, 'a'), createClaim(key, 'a'), createClaim(key, 'b')],
    ['released', 'won'],
    'b',
  ],
  [
    'a release by a losing attempt has no effect',
    [
      createClaim(key, 'a'),
      createClaim(key, 'b'),
      createSettlement('release', key, 'b'),
      createClaim(key, 'c'),
    ],
    ['won', 'lost', 'lost'],
    'a',
  ],
  [
    'an outcome is final',
    [
      createClaim(key, 'a'),
      createSettlement('outcome', key, 'a'),
      createSettlement('release', key, 'a'),
    ],
    ['won'],
    'a',
  ],
  ['a key with a future timestamp', [createClaim(futureKey, 'a')], ['future'], undefined],
  ['malformed records', [{ type: 'claim' }, 7, createClaim(key, 'a')], ['won'], 'a'],
] as const)('%s', (_name, values, decisions, holder) => {
  const state = new ShardState(WINDOW);
  const actual = values.flatMap((value, index) => {
    const record: LogRecord = { offset: toLogOffset(index), timeMs: NOW_MS, value };
    return state.applyRecord(record)?.decision ?? [];
  });
  expect(actual).toEqual(decisions);
  expect(state.findHolder({ accountId, key })?.claim.attemptId).toBe(holder);
});

test('old keys expire and are removed', () => {
  const state = new ShardState(WINDOW);
  const apply = (value: unknown, timeMs: number) =>
    state.applyRecord({ offset: toLogOffset(0), timeMs, value })?.decision;
  expect(apply(createClaim(key, 'a'), NOW_MS)).toBe('won');
  expect(apply(createClaim(key, 'b'), NOW_MS + 14_000)).toBe('lost');
  expect(apply(createClaim(key, 'c'), NOW_MS + 14_001)).toBe('expired');
  expect(state.keyCount).toBe(0);
});

test('shards are spread evenly and move only when their VM leaves', () => {
  const vmIds = Array.from({ length: 9 }, (_, index) => toId<VmId>(`vm-${index}`));
  const shards = Array.from({ length: 900 }, (_, index) => index as ShardId);
  const servers = shards.map((shard) => rankShardServers(shard, vmIds)[0]);
  vmIds.forEach((vmId) => {
    const count = servers.filter((server) => server === vmId).length;
    expect(count).toBeGreaterThan(70);
    expect(count).toBeLessThan(130);
  });
  const rest = vmIds.slice(1);
  shards.forEach((shard, index) => {
    if (servers[index] !== vmIds[0]) expect(rankShardServers(shard, rest)[0]).toBe(servers[index]);
  });
  expect(pickShard({ accountId, key }, 4)).toBeLessThan(4);
});

const startServer = (log: MemoryLog, signal: AbortSignal) => {
  const appender = createBatchingAppender({ stream: log, priority: 'once', signal });
  const server = new ShardServer({
    stream: log,
    appender,
    window: WINDOW,
    generator: createRandomGenerator(1),
  });
  const following = server.follow(signal);
  return { server, following };
};

test('a server rejects claims until it has replayed the stream', async () => {
  const log = new MemoryLog();
  const ending = new AbortController();
  const { server } = startServer(log, ending.signal);
  const claim = createClaim(key, 'a');
  expect(await server.claim({ claim, releases: [] })).toMatchObject({ code: 'replaying' });
  await vi.advanceTimersByTimeAsync(10);
  expect(await server.claim({ claim, releases: [] })).toEqual({ type: 'won' });
  ending.abort();
});

test('a claim read back after older claims were trimmed is unsettled', async () => {
  const log = new MemoryLog();
  const ending = new AbortController();
  const { server } = startServer(log, ending.signal);
  await vi.advanceTimersByTimeAsync(10);
  // Simulates a process pause: reads stall while the append goes through.
  const originalRead = log.read.bind(log);
  let resume: () => void = () => undefined;
  const resumed = new Promise<void>((resolve) => {
    resume = resolve;
  });
  vi.spyOn(log, 'read').mockImplementation(async (from, options) => {
    await resumed;
    return originalRead(from, options);
  });
  await vi.advanceTimersByTimeAsync(1_000);
  await log.append([createClaim(key, 'first')]);
  const reply = server.claim({ claim: createClaim(key, 'second'), releases: [] });
  await vi.advanceTimersByTimeAsync(14_500);
  expect(log.headOffset).toBe(2);
  log.trim(toLogOffset(1));
  resume();
  await vi.advanceTimersByTimeAsync(2_000);
  expect(await reply).toEqual({ type: 'unsettled' });
  ending.abort();
});

test('settled attempts are removed after the retention, running ones are kept', () => {
  const attempts = createAttemptRegistry();
  const [running, settled] = [attempts.register(), attempts.register()];
  running.begin();
  settled.finish({ verdict: 'ran' });
  attempts.settle(settled);
  expect(attempts.getStatus(settled.attemptId).type).toBe('done');
  vi.advanceTimersByTime(SETTLED_ATTEMPT_RETENTION_MS + 1);
  attempts.register();
  expect(attempts.getStatus(settled.attemptId).type).toBe('gone');
  expect(attempts.getStatus(running.attemptId).type).toBe('active');
  expect(attempts.countStates()).toEqual({ pending: 1, running: 1, abandoned: 0, done: 0 });
});
