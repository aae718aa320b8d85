import { readFile } from 'node:fs/promises';
import type { Row, RowKey, TableState } from '@goldcrestscale/core';
import {
  CliError,
  exitCodes,
  parseJson,
  parseSettings,
  SettingsError,
} from '@goldcrestscale/runtime';
import type { SettingsProblem } from '@goldcrestscale/runtime';
import { z } from 'zod';
import { compareRows, parseRowKey, parseRowKind } from './rowKey.js';
import { parseRow } from './rowFields.js';

const MAX_TABLE_FILE_BYTES = 16 * 1024 * 1024;

const tableFileSchema = z.strictObject({
  rows: z
    .array(z.looseObject({ kind: z.string(), id: z.string() }))
    .default([])
    .describe('Rows to create or replace.'),
  delete: z.array(z.string()).default([]).describe('Rows to delete, as KIND/ID.'),
});

/** Desired rows and deletions of a table file. */
export interface TableFile {
  readonly rows: readonly Row[];
  readonly deletions: readonly RowKey[];
}

type FileRow = z.output<typeof tableFileSchema>['rows'][number];

/**
 * Adds an account's current key digests if the file omits them, so that applying it keeps the keys.
 */
const addCurrentKeyHashes = (row: FileRow, state: TableState): FileRow => {
  if (row.kind !== 'account' || row.keyHashes !== undefined) return row;
  const current = state.rows.get(`account/${row.id}`)?.row;
  return { ...row, keyHashes: current?.kind === 'account' ? current.keyHashes : [] };
};

const findDuplicate = (rows: readonly Row[]): Row | undefined =>
  rows.find((row, index) =>
    rows.slice(index + 1).some((other) => other.kind === row.kind && other.id === row.id),
  );

/**
 * Parses the text of a table file against the current table.
 *
 * @throws SettingsError with every problem of every row, GoldcrestError if it is not JSON
 */
export const parseTableFile = (text: string, source: string, state: TableState): TableFile => {
  const value = parseJson(text, { maxBytes: MAX_TABLE_FILE_BYTES });
  const file = parseSettings(
    tableFileSchema,
    Array.isArray(value) ? { rows: value } : value,
    source,
  );
  const problems: SettingsProblem[] = [];
  const rows = file.rows.flatMap((fields): Row[] => {
    try {
      return [parseRow(parseRowKind(fields.kind), addCurrentKeyHashes(fields, state), source)];
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error;
      const rowKey = `${fields.kind}/${fields.id}`;
      problems.push(
        ...error.problems.map((problem) => ({ ...problem, path: `${rowKey} ${problem.path}` })),
      );
      return [];
    }
  });
  if (problems.length > 0) throw new SettingsError(source, problems);
  const duplicate = findDuplicate(rows);
  if (duplicate) {
    throw new CliError(
      `${source}: duplicate row ${duplicate.kind}/${duplicate.id}`,
      exitCodes.usage,
    );
  }
  return {
    rows: rows.sort(compareRows),
    deletions: file.delete.map((key) => parseRowKey(key).key),
  };
};

/** Reads a table file. @throws CliError `usage` if it can't be read */
export const readTableFile = async (file: string, state: TableState): Promise<TableFile> => {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    throw new CliError(`${file}: ${(error as Error).message}`, exitCodes.usage);
  }
  return parseTableFile(text, file, state);
};
