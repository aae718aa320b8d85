import { expect, test } from 'vitest';
import { canRetry, combineVerdicts } from '../verdict.js';

test('the more severe verdict wins', () => {
  expect(combineVerdicts('not-run', 'may-have-run')).toBe('may-have-run');
  expect(combineVerdicts('ran', 'may-have-run')).toBe('ran');
});

test('a non-idempotent request is retried only if it has not run', () => {
  expect(canRetry('not-run', false)).toBe(true);
  expect(canRetry('may-have-run', false)).toBe(false);
  expect(canRetry('may-have-run', true)).toBe(true);
});
