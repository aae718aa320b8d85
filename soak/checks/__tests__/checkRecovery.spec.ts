import { expect, test } from 'vitest';
import type { SoakHistory } from '../../history.js';
import { checkRecovery } from '../checkRecovery.js';
import { BOUNDS, createCut, createHistory, createLife, createRequest } from './historyFixtures.js';

/** Requests sent at a time, some of which are served. */
const createRequests = (sentAtMs: number, count: number, served: number) =>
  Array.from({ length: count }, (_value, index) =>
    index < served ? createRequest({ sentAtMs }) : createCut(sentAtMs + 100, { sentAtMs }),
  );

const listRules = (parts: Partial<SoakHistory>): string[] =>
  checkRecovery(createHistory({ lives: [createLife({})], ...parts }), BOUNDS).map(
    ({ rule }) => rule,
  );

const BEFORE = createRequests(10_000, 20, 15);

test('RECOVER: less than a quarter is served 12 s after the last step', () => {
  expect(listRules({ requests: [...BEFORE, ...createRequests(33_000, 40, 9)] })).toEqual([
    'RECOVER',
  ]);
  expect(listRules({ requests: [...BEFORE, ...createRequests(33_000, 40, 10)] })).toEqual([]);
});

test.each([
  ['sooner', createRequests(31_900, 40, 0), {}],
  ['in the last second', createRequests(39_500, 40, 0), {}],
  ['too few', createRequests(33_000, 19, 0), {}],
  [
    'after a later start',
    createRequests(33_000, 40, 0),
    { lives: [createLife({ startedAtMs: 21_500 })] },
  ],
  [
    'after later trouble',
    createRequests(33_000, 40, 0),
    { impairments: [{ vmId: 'vm-0', kind: 'port' as const, fromMs: 19_000, toMs: 21_500 }] },
  ],
])('no breach: requests %s', (_name, requests, parts) => {
  expect(listRules({ requests: [...BEFORE, ...requests], ...parts })).toEqual([]);
});

test('a fleet that served little before breaks nothing', () => {
  const requests = [...createRequests(10_000, 20, 4), ...createRequests(33_000, 40, 0)];
  expect(listRules({ requests })).toEqual([]);
});
