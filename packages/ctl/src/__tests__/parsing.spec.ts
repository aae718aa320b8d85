import fc from 'fast-check';
import { expect, test } from 'vitest';
import { createTableState, isGoldcrestError, rowSchema } from '@goldcrestscale/core';
import { CliError, SettingsError } from '@goldcrestscale/runtime';
import {
  mergeFields,
  parseFieldArguments,
  parseRow,
  parseRowKey,
  parseTableFile,
  ROW_KINDS,
} from '../index.js';

const isTypedError = (error: unknown): boolean =>
  error instanceof CliError || error instanceof SettingsError || isGoldcrestError(error);

const assertTypedError = (parse: () => void): void => {
  try {
    parse();
  } catch (error) {
    if (!isTypedError(error)) throw error;
  }
};

const kinds = fc.constantFrom(...ROW_KINDS);
const rowLike = fc.oneof(
  fc.jsonValue(),
  fc.record({ kind: kinds, id: fc.string(), weight: fc.jsonValue(), state: fc.jsonValue() }),
  fc.dictionary(fc.string(), fc.jsonValue()),
);

test('any table file gives valid rows or a typed error', () => {
  const files = fc.oneof(
    fc.string(),
    fc.json(),
    fc.array(rowLike).map((rows) => JSON.stringify(rows)),
    fc
      .record({ rows: fc.array(rowLike), delete: fc.array(fc.string()) })
      .map((file) => JSON.stringify(file)),
  );
  fc.assert(
    fc.property(files, (text) => {
      assertTypedError(() => {
        const { rows } = parseTableFile(text, 'x.json', createTableState());
        rows.forEach((row) => expect(rowSchema.parse(row)).toEqual(row));
      });
    }),
    { seed: 1, numRuns: 300 },
  );
});

test('any arguments give a valid row or a typed error', () => {
  const field = fc.tuple(fc.constantFrom('weight', 'state', 'version', 'x', ''), fc.string());
  const args = fc.array(
    fc.oneof(
      fc.string(),
      field.map(([name, value]) => `${name}=${value}`),
    ),
  );
  fc.assert(
    fc.property(kinds, args, (kind, fields) => {
      assertTypedError(() => {
        const row = parseRow(
          kind,
          mergeFields({ id: 'a' }, parseFieldArguments(kind, fields)),
          'a',
        );
        expect(row.id).toBe('a');
      });
    }),
    { seed: 1, numRuns: 300 },
  );
});

test('any row key parses to itself or gives a typed error', () => {
  fc.assert(
    fc.property(
      fc.oneof(
        fc.string(),
        fc.tuple(kinds, fc.string()).map((parts) => parts.join('/')),
      ),
      (text) => {
        assertTypedError(() => expect(parseRowKey(text).key).toBe(text));
      },
    ),
    { seed: 1, numRuns: 300 },
  );
});
