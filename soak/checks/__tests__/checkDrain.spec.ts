import { expect, test } from 'vitest';
import type { LifeRecord } from '../../history.js';
import { checkDrain } from '../checkDrain.js';
import { createHistory, createLife, createSignal } from './historyFixtures.js';

/** A VM that is stopped at 5 s and was last ready at a time. */
const createStopped = (lastReadyMs: number, parts: Partial<LifeRecord> = {}): LifeRecord =>
  createLife({
    readyAtMs: [4_800, lastReadyMs],
    signals: [createSignal('SIGTERM', 5_000)],
    ...parts,
  });

const PROMPT = 5_500;

const LATE = 9_100;

test.each([
  ['no VM that stays ready', [PROMPT, PROMPT], []],
  ['one VM that stays ready', [LATE, PROMPT], []],
  ['two of eight', [LATE, LATE, ...Array.from({ length: 6 }, () => PROMPT)], []],
  ['two of seven', [LATE, LATE, ...Array.from({ length: 5 }, () => PROMPT)], ['DRAIN', 'DRAIN']],
])('after a stop: %s', (_name, times, rules) => {
  const lives = times.map((atMs) => createStopped(atMs));
  expect(checkDrain(createHistory({ lives })).map(({ rule }) => rule)).toEqual(rules);
});

test('VMs that stood still or were not ready do not count', () => {
  const frozen = [createSignal('SIGTERM', 5_000), createSignal('SIGSTOP', 5_100)];
  const lives = [
    createStopped(LATE),
    createStopped(LATE, { signals: frozen }),
    createStopped(LATE, { readyAtMs: [1_000, LATE] }),
  ];
  expect(checkDrain(createHistory({ lives }))).toEqual([]);
});
