import { expect, test } from 'vitest';
import { measureLostTime, sumStalls } from '../lostTime.js';

const LIFE = {
  waits: [
    { atMs: 100, waitedMs: 10 },
    { atMs: 200, waitedMs: 60 },
    { atMs: 300, waitedMs: 60 },
    { atMs: 400, waitedMs: 210 },
  ],
};

const CALM = { stalls: [] };

test.each([
  ['a whole wait', 100, 210, 50],
  ['a part of a wait', 175, 225, 25],
  ['no wait before the first sample', 0, 100, 0],
  ['a wait longer than the time between samples', 250, 400, 150],
  ['no wait after the last sample', 400, 900, 0],
])('the time that a process lost: %s', (_name, startMs, endMs, lostMs) => {
  expect(measureLostTime(LIFE, CALM, startMs, endMs)).toBe(lostMs);
});

test('a process without samples, or none, lost nothing', () => {
  expect(measureLostTime({ waits: [] }, CALM, 0, 1_000)).toBe(0);
  expect(measureLostTime(undefined, CALM, 0, 1_000)).toBe(0);
});

test('a stall counts within its span, and only once beside a wait', () => {
  const stalls = [
    { fromMs: 50, toMs: 160 },
    { fromMs: 390, toMs: 500 },
  ];
  expect(sumStalls({ stalls }, 100, 400)).toBe(70);
  expect(measureLostTime(undefined, { stalls }, 100, 400)).toBe(70);
  expect(measureLostTime(LIFE, { stalls }, 100, 400)).toBe(250);
});
