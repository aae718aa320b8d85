import { expect, test } from 'vitest';
import type { SoakHistory } from '../../history.js';
import { checkLeaves } from '../checkLeaves.js';
import {
  BOUNDS,
  createHistory,
  createLife,
  createRequest,
  createRun,
  createSignal,
} from './historyFixtures.js';

const LEFT_AT_MS = 10_000;

/** A run at an upstream that left, this long after it did. */
const listRules = (afterMs: number, parts: Partial<SoakHistory> = {}): string[] =>
  checkLeaves(
    createHistory({
      requests: [createRequest({})],
      runs: [createRun({ startedAtMs: LEFT_AT_MS + afterMs })],
      lives: [createLife({})],
      leaves: [{ upstreamId: 'u-0-0', atMs: LEFT_AT_MS }],
      ...parts,
    }),
    BOUNDS,
  ).map(({ rule }) => rule);

const createImpairment = (vmId: string | undefined) => ({
  vmId,
  kind: 'log' as const,
  fromMs: 8_000,
  toMs: 9_000,
});

test('DRAIN: a run 2 s after its upstream reported that it leaves', () => {
  expect(listRules(2_100)).toEqual(['DRAIN']);
  expect(listRules(1_900)).toEqual([]);
});

test('a run of a VM out of touch breaks nothing', () => {
  expect(listRules(2_100, { impairments: [createImpairment(undefined)] })).toEqual([]);
  expect(listRules(2_100, { impairments: [createImpairment('vm-1')] })).toEqual(['DRAIN']);
  const signals = [createSignal('SIGTERM', 8_000)];
  expect(listRules(2_100, { lives: [createLife({ signals })] })).toEqual([]);
});

test('the time in which the soak stood still does not count', () => {
  expect(listRules(2_100, { stalls: [{ fromMs: 10_500, toMs: 10_700 }] })).toEqual([]);
});

test('a run at another upstream breaks nothing', () => {
  expect(listRules(2_100, { leaves: [{ upstreamId: 'u-1-0', atMs: LEFT_AT_MS }] })).toEqual([]);
});
