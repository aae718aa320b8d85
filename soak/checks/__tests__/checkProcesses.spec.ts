import { expect, test } from 'vitest';
import type { LifeRecord, SoakHistory } from '../../history.js';
import { checkProcesses } from '../checkProcesses.js';
import { BOUNDS, createHistory, createLife, createSignal } from './historyFixtures.js';

const listRules = (life: Partial<LifeRecord>, rest: Partial<SoakHistory> = {}): string[] =>
  checkProcesses(createHistory({ lives: [createLife(life)], ...rest }), BOUNDS).map(
    ({ rule }) => rule,
  );

const endWith = (code: number | null, signal: string | null, atMs = 9_000) => ({
  exit: { code, signal, atMs },
});

test('a process that ends with 0 after a SIGTERM breaks nothing', () => {
  expect(listRules({ signals: [createSignal('SIGTERM', 8_000)], ...endWith(0, null) })).toEqual([]);
});

test('a process that a SIGKILL of the plan ended breaks nothing', () => {
  const signals = [createSignal('SIGKILL', 8_000)];
  expect(listRules({ signals, ...endWith(null, 'SIGKILL') })).toEqual([]);
});

test.each([
  ['that ends by a second SIGTERM', endWith(null, 'SIGTERM'), ['SIGTERM', 'SIGTERM']],
  ['that ends by a SIGHUP', endWith(null, 'SIGHUP'), ['SIGHUP']],
  ['that ends with 0 without a signal', endWith(0, null), []],
  ['that ends with 0 after a SIGHUP', endWith(0, null), ['SIGHUP']],
  ['that ends with 1', endWith(1, null), []],
  ['that ends with 1 after a SIGTERM', endWith(1, null), ['SIGTERM']],
  ['that ends by an abort', endWith(null, 'SIGABRT'), []],
] as const)('FAULT: a process %s', (_name, end, signals) => {
  const records = signals.map((signal, index) => createSignal(signal, 8_000 + index));
  expect(listRules({ signals: records, ...end })).toEqual(['FAULT']);
});

test('FAULT: a process that the supervisor kills when its time is over', () => {
  const signals = [
    createSignal('SIGTERM', 1_000),
    createSignal('SIGKILL', 9_000, { isOverdue: true }),
  ];
  expect(listRules({ signals, ...endWith(null, 'SIGKILL') })).toEqual(['FAULT']);
});

test('a signal before the runtime runs the program is EARLY, not FAULT', () => {
  const signals = [createSignal('SIGHUP', 10, { cpuMs: 8 })];
  expect(listRules({ signals, ...endWith(null, 'SIGHUP', 12) })).toEqual(['EARLY']);
});

test('an early signal excuses no later end by another one', () => {
  const signals = [createSignal('SIGHUP', 10, { cpuMs: 8 }), createSignal('SIGTERM', 60)];
  expect(listRules({ signals, ...endWith(null, 'SIGTERM', 61) })).toEqual(['FAULT']);
});

test('FAULT: a process that is never ready', () => {
  expect(listRules({ readyAtMs: [] })).toEqual(['FAULT']);
});

test('a process that waits for a processor has that much longer to become ready', () => {
  const waits = [
    { atMs: 0, waitedMs: 10 },
    { atMs: 8_500, waitedMs: 1_010 },
  ];
  const late = { readyAtMs: [] };
  const end = endWith(null, 'SIGKILL', 8_500);
  const signals = [createSignal('SIGKILL', 8_500)];
  expect(listRules({ ...late, signals, ...end })).toEqual(['FAULT']);
  expect(listRules({ ...late, signals, waits, ...end })).toEqual([]);
});

test('FAULT: a process that is not ready although it waited for a processor', () => {
  const waits = [
    { atMs: 0, waitedMs: 10 },
    { atMs: 9_500, waitedMs: 1_010 },
  ];
  const signals = [createSignal('SIGKILL', 9_500)];
  const life = { readyAtMs: [], signals, waits, ...endWith(null, 'SIGKILL', 9_500) };
  expect(listRules(life)).toEqual(['FAULT']);
});

test('FAULT: a process that is not ready again after the log is back', () => {
  const impairments = [{ vmId: undefined, kind: 'log' as const, fromMs: 2_000, toMs: 5_000 }];
  expect(listRules({ readyAtMs: [1_000] }, { impairments })).toEqual(['FAULT']);
  expect(listRules({ readyAtMs: [1_000, 15_900] }, { impairments })).toEqual([]);
});

test('a process that has too little calm to become ready breaks nothing', () => {
  const impairments = [{ vmId: 'vm-0', kind: 'port' as const, fromMs: 100, toMs: 39_000 }];
  expect(listRules({ readyAtMs: [] }, { impairments })).toEqual([]);
});

test('FAULT: a process with more memory than the limit', () => {
  expect(listRules({ peakMemoryMb: 201 })).toEqual(['FAULT']);
});
