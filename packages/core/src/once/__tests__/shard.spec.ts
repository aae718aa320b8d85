import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import type { AttemptId, BootId, ClientAccountId, IdempotencyKey, VmId } from '../../ids.js';
import { toId, toLogOffset } from '../../ids.js';
import { MemoryLog, createBatchingAppender } from '../../log/index.js';
import type { LogRecord } from '../../log/index.js';
import { createGenerator } from '../../random.js';
import {
  ShardServer,
  ShardState,
  createOnceKey,
  getKeyTimeMs,
  parseOnceKey,
  pickShard,
  rankShardServers,
} from '../index.js';
import { createAttemptRegistry } from '../attemptRegistry.js';
import { SETTLED_ATTEMPT_MEMORY_MS } from '../constants.js';
import type { ClaimRecord, ShardId } from '../index.js';

const NOW_MS = 1_700_000_000_000;
const WINDOW = { windowMs: 12_000, clockAllowanceMs: 1_000 };

beforeEach(() => {
  vi.useFakeTimers({ now: NOW_MS });
});
afterEach(() => {
  vi.useRealTimers();
});

const accountId = toId<ClientAccountId>('yard');
const claimOf = (key: IdempotencyKey, attempt: string): ClaimRecord => ({
  type: 'claim',
  accountId,
  key,
  attemptId: toId<AttemptId>(attempt),
  digest: 'digest' as ClaimRecord['digest'],
  vmId: toId<VmId>('vm'),
  bootId: toId<BootId>('boot'),
});
const settle = (type: 'outcome' | 'release', key: IdempotencyKey, attemptId: string) => ({
  type,
  accountId,
  key,
  attemptId,
  ...(type === 'outcome' ? { outcome: { verdict: 'ran' } } : {}),
});

test('key carries its time', () => {
  const key = createOnceKey(NOW_MS);
  expect(getKeyTimeMs(key)).toBe(NOW_MS);
  expect(parseOnceKey(key.toUpperCase())).toBe(key);
  expect(parseOnceKey('a3bb189e-8bf9-4888-9912-ace4e6543002')).toBeUndefined();
});

const key = createOnceKey(NOW_MS);
const early = createOnceKey(NOW_MS + 1_500);

test.each([
  ['first claim wins', [claimOf(key, 'a'), claimOf(key, 'b')], ['won', 'lost'], 'a'],
  ['own copy changes nothing', [claimOf(key, 'a'), claimOf(key, 'a')], ['won', 'won'], 'a'],
  [
    'release frees the key',
    [claimOf(key, 'a'), settle('release', key, 'a'), claimOf(key, 'b')],
    ['won', 'won'],
    'b',
  ],
  [
    'released claim that surfaces late does not count',
    [settle('release', key, 'a'), claimOf(key, 'a'), claimOf(key, 'b')],
    ['released', 'won'],
    'b',
  ],
  [
    'release of a rival frees nothing',
    [claimOf(key, 'a'), claimOf(key, 'b'), settle('release', key, 'b'), claimOf(key, 'c')],
    ['won', 'lost', 'lost'],
    'a',
  ],
  [
    'outcome is final',
    [claimOf(key, 'a'), settle('outcome', key, 'a'), settle('release', key, 'a')],
    ['won'],
    'a',
  ],
  ['key of the future', [claimOf(early, 'a')], ['future'], undefined],
  ['malformed record', [{ type: 'claim' }, 7, claimOf(key, 'a')], ['won'], 'a'],
] as const)('%s', (_name, values, decisions, holder) => {
  const state = new ShardState(WINDOW);
  const made = values.flatMap((value, index) => {
    const record: LogRecord = { offset: toLogOffset(index), timeMs: NOW_MS, value };
    return state.applyRecord(record)?.decision ?? [];
  });
  expect(made).toEqual(decisions);
  expect(state.findHolder({ accountId, key })?.claim.attemptId).toBe(holder);
});

test('old keys expire and are forgotten', () => {
  const state = new ShardState(WINDOW);
  const apply = (value: unknown, timeMs: number) =>
    state.applyRecord({ offset: toLogOffset(0), timeMs, value })?.decision;
  expect(apply(claimOf(key, 'a'), NOW_MS)).toBe('won');
  expect(apply(claimOf(key, 'b'), NOW_MS + 14_000)).toBe('lost');
  expect(apply(claimOf(key, 'c'), NOW_MS + 14_001)).toBe('expired');
  expect(state.keyCount).toBe(0);
});

test('shards spread and move only with their VM', () => {
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
    generator: createGenerator(1),
  });
  const following = server.follow(signal);
  return { server, following };
};

test('server refuses until it has replayed', async () => {
  const log = new MemoryLog();
  const ending = new AbortController();
  const { server } = startServer(log, ending.signal);
  const claim = claimOf(key, 'a');
  expect(await server.claim({ claim, releases: [] })).toMatchObject({ code: 'replaying' });
  await vi.advanceTimersByTimeAsync(10);
  expect(await server.claim({ claim, releases: [] })).toEqual({ type: 'won' });
  ending.abort();
});

test('claim read back after the older ones were trimmed is not trusted', async () => {
  const log = new MemoryLog();
  const ending = new AbortController();
  const { server } = startServer(log, ending.signal);
  await vi.advanceTimersByTimeAsync(10);
  // The server does not read for a while, as a paused process; its append has gone out.
  const read = log.read.bind(log);
  let resume: () => void = () => undefined;
  const resumed = new Promise<void>((resolve) => {
    resume = resolve;
  });
  vi.spyOn(log, 'read').mockImplementation(async (from, options) => {
    await resumed;
    return read(from, options);
  });
  await vi.advanceTimersByTimeAsync(1_000);
  await log.append([claimOf(key, 'first')]);
  const reply = server.claim({ claim: claimOf(key, 'second'), releases: [] });
  await vi.advanceTimersByTimeAsync(14_500);
  expect(log.headOffset).toBe(2);
  log.trim(toLogOffset(1));
  resume();
  await vi.advanceTimersByTimeAsync(2_000);
  expect(await reply).toEqual({ type: 'unsettled' });
  ending.abort();
});

test('settled attempts are forgotten, running ones are not', () => {
  const attempts = createAttemptRegistry();
  const [running, settled] = [attempts.open(), attempts.open()];
  running.begin();
  settled.finish({ verdict: 'ran' });
  attempts.settle(settled);
  expect(attempts.getStatus(settled.attemptId).type).toBe('done');
  vi.advanceTimersByTime(SETTLED_ATTEMPT_MEMORY_MS + 1);
  attempts.open();
  expect(attempts.getStatus(settled.attemptId).type).toBe('gone');
  expect(attempts.getStatus(running.attemptId).type).toBe('active');
  expect(attempts.countStates()).toEqual({ pending: 1, running: 1, abandoned: 0, done: 0 });
});
