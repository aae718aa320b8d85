import fc from 'fast-check';
import { expect, test } from 'vitest';
import { isGoldcrestError } from '@goldcrestscale/core';
import { parseJson } from '../index.js';

const collectCode = (text: string, maxBytes: number): unknown => {
  try {
    return parseJson(text, { maxBytes });
  } catch (error) {
    if (!isGoldcrestError(error)) throw error;
    expect(error.verdict).toBe('not-run');
    return error.code;
  }
};

test('limits the size in bytes, not characters', () => {
  expect(collectCode('"é"', 4)).toBe('é');
  expect(collectCode('"é"', 3)).toBe('body_too_large');
  expect(collectCode('{', 3)).toBe('bad_request');
});

test('parses any JSON value like JSON.parse', () => {
  fc.assert(
    fc.property(fc.jsonValue(), (value) => {
      const text = JSON.stringify(value);
      expect(parseJson(text, { maxBytes: 1e6 })).toEqual(JSON.parse(text));
    }),
    { seed: 1, numRuns: 200 },
  );
});

test('parses any text or throws a typed error', () => {
  fc.assert(
    fc.property(fc.string(), fc.nat(20), (text, maxBytes) => {
      collectCode(text, maxBytes);
    }),
    { seed: 1, numRuns: 500 },
  );
});
