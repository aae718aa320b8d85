import { expect, test } from 'vitest';
import { canRepeat, combineVerdicts } from '../verdict.js';

test('worse verdict wins', () => {
  expect(combineVerdicts('not-run', 'may-have-run')).toBe('may-have-run');
  expect(combineVerdicts('ran', 'may-have-run')).toBe('ran');
});

test('only not-run repeats an unrepeatable request', () => {
  expect(canRepeat('not-run', false)).toBe(true);
  expect(canRepeat('may-have-run', false)).toBe(false);
  expect(canRepeat('may-have-run', true)).toBe(true);
});
