import { expect, test } from 'vitest';
import { noViolations, NonIdempotentCallTracker } from './harness/index.js';
import type { CallOutcome } from './harness/index.js';

test.each<[string, CallOutcome, number, object]>([
  ['no violation', 'answered', 1, noViolations],
  ['no violation', 'not-run', 0, noViolations],
  ['no violation', 'unknown', 1, noViolations],
  ['no violation', 'unknown', 0, noViolations],
  ['a duplicate run', 'answered', 2, { ...noViolations, duplicatedCalls: 1 }],
  ['a duplicate run', 'unknown', 2, { ...noViolations, duplicatedCalls: 1 }],
  ['a lost call', 'answered', 0, { ...noViolations, lostCalls: 1 }],
  ['a false "not run"', 'not-run', 1, { ...noViolations, falseNotRunCalls: 1 }],
])('the call tracker reports %s: outcome %s with %i runs', (_, end, runs, expected) => {
  const tracker = new NonIdempotentCallTracker();
  tracker.record('r1', end);
  expect(tracker.compareWithRuns(runs === 0 ? {} : { r1: runs })).toMatchObject(expected);
});
