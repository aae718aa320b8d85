import { expect, test } from 'vitest';
import type { ImpairmentRecord, SoakHistory } from '../../history.js';
import { checkLost } from '../checkLost.js';
import {
  BOUNDS,
  createCut,
  createHistory,
  createLife,
  createRequest,
  createRun,
  createSignal,
} from './historyFixtures.js';

const countLost = (parts: Partial<SoakHistory>): number =>
  checkLost(createHistory(parts), BOUNDS).length;

const terminated = createLife({ signals: [createSignal('SIGTERM', 9_500)] });

test('LOST: a request that runs is cut in a shutdown', () => {
  const requests = [createCut(10_100)];
  expect(countLost({ requests, runs: [createRun({})], lives: [terminated] })).toBe(1);
});

test('LOST: a request that is not passed on is cut later than the slack', () => {
  expect(countLost({ requests: [createCut(10_211)], lives: [terminated] })).toBe(1);
  expect(countLost({ requests: [createCut(10_209)], lives: [terminated] })).toBe(0);
});

test('a close that a caller sees late because it paused is not a late cut', () => {
  const requests = [createCut(11_000, { readAgainAtMs: 10_990 })];
  expect(countLost({ requests, lives: [terminated] })).toBe(0);
});

test('only the time in which the soak itself stood still is taken off the slack', () => {
  const requests = [createCut(10_300)];
  const stall = (toMs: number) => [{ fromMs: 9_000, toMs }];
  expect(countLost({ requests, lives: [terminated], stalls: stall(10_101) })).toBe(0);
  expect(countLost({ requests, lives: [terminated], stalls: stall(10_099) })).toBe(1);
  const rest = { requests, lives: [terminated], stalls: stall(10_200) };
  expect(countLost({ ...rest, runs: [createRun({})] })).toBe(1);
});

test('a cut that only a wait for a processor made late is STARVED, not LOST', () => {
  const listRules = (waitedMs: number, parts: Partial<SoakHistory> = {}): string[] => {
    const waits = [
      { atMs: 9_000, waitedMs: 0 },
      { atMs: 10_300, waitedMs },
    ];
    const signals = [createSignal('SIGTERM', 9_500)];
    const lives = [createLife({ signals, waits })];
    const history = createHistory({ requests: [createCut(10_300)], lives, ...parts });
    return checkLost(history, BOUNDS).map(({ rule }) => rule);
  };
  expect(listRules(89)).toEqual(['LOST']);
  expect(listRules(91)).toEqual(['STARVED']);
  expect(listRules(91, { runs: [createRun({})] })).toEqual(['LOST']);
});

test('LOST: a request is cut soon after a SIGHUP', () => {
  const lives = [createLife({ signals: [createSignal('SIGHUP', 9_500)] })];
  expect(countLost({ requests: [createCut(10_100)], runs: [createRun({})], lives })).toBe(1);
});

test('LOST: more than three requests are cut by a calm VM', () => {
  const requests = ['a', 'b', 'c', 'd'].map((id) => createCut(10_100, { id }));
  const runs = requests.map(({ id }) => createRun({ requestId: id }));
  const lives = [createLife({})];
  expect(countLost({ requests, runs, lives })).toBe(4);
  expect(countLost({ requests: requests.slice(1), runs, lives })).toBe(0);
});

test('answered requests and those of callers that left are not lost', () => {
  const requests = [createRequest({}), createRequest({ end: { type: 'left' } })];
  expect(countLost({ requests, runs: [createRun({})], lives: [terminated] })).toBe(0);
});

test('a request whose body was never whole is not lost', () => {
  const requests = [createCut(10_100, { wholeAtMs: undefined })];
  expect(countLost({ requests, runs: [createRun({})], lives: [terminated] })).toBe(0);
});

test('a cut after the time of the shutdown and a second is not of planned work', () => {
  const late = { sentAtMs: 18_000, wholeAtMs: 18_000 };
  const runs = [createRun({ startedAtMs: 18_100, endedAtMs: 18_200 })];
  const lives = [terminated];
  expect(countLost({ requests: [createCut(18_499, late)], runs, lives })).toBe(1);
  expect(countLost({ requests: [createCut(18_501, late)], runs, lives })).toBe(0);
});

test('a request whose upstream broke off or whose time is over is not lost', () => {
  const lives = [terminated];
  const broken = { requests: [createCut(10_100)], runs: [createRun({ isUnsound: true })], lives };
  expect(countLost(broken)).toBe(0);
  const requests = [createCut(10_100, { timeoutMs: 100 })];
  expect(countLost({ requests, runs: [createRun({})], lives })).toBe(0);
});

test('a request that works in the last sixth of a shutdown counts only if sent late', () => {
  const runs = [createRun({ endedAtMs: undefined })];
  const lives = [createLife({ signals: [createSignal('SIGTERM', 9_500)] })];
  const early = createCut(17_400, { timeoutMs: 20_000 });
  const bounds = { ...BOUNDS, routeTimeoutMs: 20_000 };
  expect(checkLost(createHistory({ requests: [early], runs, lives }), bounds)).toEqual([]);
  const late = createCut(17_400, { timeoutMs: 20_000, sentAtMs: 12_600 });
  expect(checkLost(createHistory({ requests: [late], runs, lives }), bounds)).toHaveLength(1);
});

test('a signal that comes again begins no new shutdown', () => {
  const runs = [createRun({ endedAtMs: undefined })];
  const signals = [
    createSignal('SIGTERM', 9_500),
    createSignal('SIGINT', 10_050),
    createSignal('SIGHUP', 17_000),
  ];
  const lives = [createLife({ signals })];
  const atEnd = createCut(17_400, { timeoutMs: 9_000 });
  expect(countLost({ requests: [atEnd], runs, lives })).toBe(0);
  const before = createCut(16_100, { timeoutMs: 9_000 });
  expect(countLost({ requests: [before], runs, lives })).toBe(1);
});

test('the shutdown of the process before excuses nothing', () => {
  const runs = [createRun({ endedAtMs: undefined })];
  const exit = { code: 0, signal: null, atMs: 9_900 };
  const before = createLife({ signals: [createSignal('SIGTERM', 9_500)], exit });
  const life = createLife({ startedAtMs: 9_950, signals: [createSignal('SIGHUP', 17_000)] });
  const requests = [createCut(17_400, { timeoutMs: 9_000 })];
  expect(countLost({ requests, runs, lives: [before, life] })).toBe(1);
});

test.each<[ImpairmentRecord['kind'], number, number]>([
  ['kill', 0, 0],
  ['freeze', 0, 0],
  ['upstreamLinks', 0, 0],
  // Trouble of the log alone excuses only streams.
  ['log', 1, 0],
  ['settings', 1, 1],
  ['port', 1, 1],
])('trouble of kind %s leaves %i unsafe requests and %i streams lost', (kind, unsafe, streams) => {
  const impairments = [{ vmId: 'vm-0', kind, fromMs: 7_000, toMs: 7_500 }];
  const rest = { runs: [createRun({})], lives: [terminated], impairments };
  expect(countLost({ requests: [createCut(10_100)], ...rest })).toBe(unsafe);
  expect(countLost({ requests: [createCut(10_100, { kind: 'stream' })], ...rest })).toBe(streams);
});

test('trouble of another VM, or long before, excuses nothing', () => {
  const rest = { requests: [createCut(10_100)], runs: [createRun({})], lives: [terminated] };
  const other = [{ vmId: 'vm-1', kind: 'kill' as const, fromMs: 9_000, toMs: 9_000 }];
  const before = [{ vmId: 'vm-0', kind: 'freeze' as const, fromMs: 1_000, toMs: 6_999 }];
  expect(countLost({ ...rest, impairments: other })).toBe(1);
  expect(countLost({ ...rest, impairments: before })).toBe(1);
});
