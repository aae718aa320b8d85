import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { LogError, MemoryLog } from '../../log/index.js';
import { toId, toLogOffset } from '../../ids.js';
import {
  TableReplica,
  computeStateDigest,
  createSnapshotRecord,
  createTableEditor,
  rowSchema,
} from '../index.js';
import type { RowChange } from '../index.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const put = (row: object): RowChange => ({ action: 'put', row: rowSchema.parse(row) });
const putAccount = (id: string, weight = 1, keyHashes: string[] = []) =>
  put({ kind: 'account', id, weight, keyHashes });
const zone = (id: string, state: string) => put({ kind: 'zone', id, state });

test('an accepted edit is visible in the table', async () => {
  const editor = createTableEditor(new MemoryLog());
  expect(await editor.applyChange(putAccount('a', 3))).toMatchObject({ type: 'accepted' });
  const table = await editor.readTable();
  expect(table.getAccount(toId('a'))?.weight).toBe(3);
  expect(table.findWorkloads({ accountId: toId('a') })).toEqual([]);
});

test('a conflict rejection names the edit that was accepted first', async () => {
  const log = new MemoryLog();
  const [left, right] = [createTableEditor(log), createTableEditor(log)];
  const [first, second] = await Promise.all([
    left.applyChange(putAccount('a', 1)),
    right.applyChange(putAccount('a', 2)),
  ]);
  expect(first.type).toBe('accepted');
  expect(second).toMatchObject({
    type: 'rejected',
    rejection: { reason: 'conflict', conflictingEditId: first.editId, conflictingOffset: 0 },
  });
});

test.each([
  [put({ kind: 'workload', id: 'w', accountId: 'none', service: 's' }), 'account/none'],
  [put({ kind: 'workload', id: 'w', accountId: 'a' }), 'must name either a model or a service'],
  [zone('z1', 'out'), 'no availability zone'],
  [{ action: 'delete', key: 'zone/z1' } as const, 'no availability zone'],
  [{ action: 'delete', key: 'account/a' } as const, 'workload/used'],
  [putAccount('b', 1, ['0'.repeat(64)]), 'account/a has one of these keys'],
  [{ action: 'delete', key: 'model/none' } as const, 'does not exist'],
] satisfies [RowChange, string][])('invalid edit %# is rejected', async (change, problem) => {
  const editor = createTableEditor(new MemoryLog());
  const setup = [
    putAccount('a', 1, ['0'.repeat(64)]),
    put({ kind: 'service', id: 's' }),
    put({ kind: 'workload', id: 'used', accountId: 'a', service: 's' }),
    zone('z1', 'in'),
    zone('z2', 'out'),
  ];
  for (const step of setup) {
    expect(await editor.applyChange(step)).toMatchObject({ type: 'accepted' });
  }
  const outcome = await editor.applyChange(change);
  expect(outcome).toMatchObject({ type: 'rejected', rejection: { reason: 'invalid' } });
  expect(JSON.stringify(outcome)).toContain(problem);
});

test('an edit whose append response was lost is confirmed by read-back', async () => {
  const log = new MemoryLog();
  const editor = createTableEditor(log);
  const append = log.append.bind(log);
  vi.spyOn(log, 'append').mockImplementationOnce(async (values) => {
    await append(values);
    throw new LogError('connection lost', 'unknown');
  });
  expect(await editor.applyChange(putAccount('a'))).toMatchObject({ type: 'accepted' });
  expect(log.headOffset).toBe(1);
});

test('an unavailable log gives an error with the verdict not-run', async () => {
  const log = new MemoryLog();
  const editor = createTableEditor(log, { timeoutMs: 1000 });
  vi.spyOn(log, 'append').mockRejectedValue(new LogError('service unavailable', 'refused'));
  const outcome = expect(editor.applyChange(putAccount('a'))).rejects.toMatchObject({
    code: 'log_unavailable',
    verdict: 'not-run',
  });
  await vi.advanceTimersByTimeAsync(3000);
  await outcome;
});

test('a replica of a trimmed stream starts from a snapshot', async () => {
  const log = new MemoryLog();
  const editor = createTableEditor(log);
  const old = new TableReplica(log);
  await editor.applyChange(putAccount('a', 2));
  await old.readNext();
  await log.append([createSnapshotRecord(old.state)]);
  await editor.applyChange(putAccount('b', 2));
  log.trim(toLogOffset(1));
  const fresh = new TableReplica(log);
  expect((await fresh.readNext()).atHead).toBe(true);
  await old.readNext();
  expect(computeStateDigest(fresh.state)).toBe(computeStateDigest(old.state));
  log.trim(toLogOffset(3));
  await expect(new TableReplica(log).readNext()).rejects.toThrow('no snapshot covers');
});

test('a peer state is accepted only at a higher offset', async () => {
  const log = new MemoryLog();
  const editor = createTableEditor(log);
  const behind = new TableReplica(log);
  const ahead = new TableReplica(log);
  await editor.applyChange(putAccount('a'));
  await ahead.readNext();
  expect(behind.acceptState(ahead.state)).toBe(true);
  expect(behind.acceptState(ahead.state)).toBe(false);
  expect(ahead.acceptState(new TableReplica(log).state)).toBe(false);
});
