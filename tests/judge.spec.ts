import { expect, test } from 'vitest';
import { keptPromises, UnrepeatableLedger } from './harness/index.js';
import type { UnrepeatableEnd } from './harness/index.js';

test.each<[string, UnrepeatableEnd, number, object]>([
  ['kept', 'answered', 1, keptPromises],
  ['kept', 'not-run', 0, keptPromises],
  ['kept', 'unknown', 1, keptPromises],
  ['kept', 'unknown', 0, keptPromises],
  ['a double', 'answered', 2, { ...keptPromises, ranTwice: 1 }],
  ['a double', 'unknown', 2, { ...keptPromises, ranTwice: 1 }],
  ['a loss', 'answered', 0, { ...keptPromises, lost: 1 }],
  ['a false refusal', 'not-run', 1, { ...keptPromises, falseRefusals: 1 }],
])('the judge sees %s: %s with %i runs', (_, end, runs, expected) => {
  const ledger = new UnrepeatableLedger();
  ledger.record('r1', end);
  expect(ledger.compare(runs === 0 ? {} : { r1: runs })).toMatchObject(expected);
});
