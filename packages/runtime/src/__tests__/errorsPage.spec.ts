import { readFileSync } from 'node:fs';
import { expect, test } from 'vitest';

const readText = (path: string): string =>
  readFileSync(new URL(`../../../../${path}`, import.meta.url), 'utf8');

const listMatches = (text: string, pattern: RegExp): string[] =>
  [...text.matchAll(pattern)].map((match) => match[1] ?? '').sort();

test('the errors page has a row with cause and remedy for each error code', () => {
  const union = /export type ErrorCode =([^;]+);/.exec(readText('packages/core/src/errors.ts'));
  const codes = listMatches(union?.[1] ?? '', /'([a-z_]+)'/g);
  expect(codes.length).toBeGreaterThan(10);
  const rows = /^\| `([a-z_]+)` +\| [^|]{10,}\| [^|]{10,}\|$/gm;
  expect(listMatches(readText('docs/operating/errors.md'), rows)).toEqual(codes);
});
