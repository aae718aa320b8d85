import { expect, test } from 'vitest';
import type { UpstreamRun } from '@goldcrestscale/adapter/standin/index.js';
import { checkAttempts } from '../checkAttempts.js';
import { createHistory, createRequest, createRun } from './historyFixtures.js';

/** Requests that each ran on three upstreams. */
const createFleet = (count: number, parts: Partial<UpstreamRun> = {}) => {
  const ids = Array.from({ length: count }, (_value, index) => `c${index}-0`);
  return createHistory({
    requests: ids.map((id) => createRequest({ id, kind: 'safe' })),
    runs: ids.flatMap((requestId) => [
      createRun({ requestId, upstreamId: 'u-0-0' }),
      createRun({ requestId, upstreamId: 'u-1-0' }),
      createRun({ requestId, upstreamId: 'u-2-0', ...parts }),
    ]),
  });
};

test('BUDGET: four requests on more upstreams than their route allows', () => {
  const findings = checkAttempts(createFleet(4));
  expect(findings.map(({ rule }) => rule)).toEqual(['BUDGET', 'BUDGET', 'BUDGET', 'BUDGET']);
});

test.each([
  ['three such requests', 3, {}],
  ['an upstream that failed', 4, { isUnsound: true }],
  ['the same upstream again', 4, { upstreamId: 'u-1-0' }],
] as const)('no breach: %s', (_name, count, parts) => {
  expect(checkAttempts(createFleet(count, parts))).toEqual([]);
});

test('no breach: runs while the links of upstreams were harmed', () => {
  const impairments = [
    { vmId: undefined, kind: 'upstreamLinks' as const, fromMs: 9_000, toMs: 11_000 },
  ];
  expect(checkAttempts({ ...createFleet(4), impairments })).toEqual([]);
});
