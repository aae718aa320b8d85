import { formatColumns } from '@goldcrestscale/runtime';

/** Formats a value for one cell of a table. */
export const formatCell = (value: unknown): string => {
  if (value === undefined) return '-';
  return typeof value === 'string' ? value : JSON.stringify(value);
};

/** Formats rows as a table with aligned columns; columns appear in the order of first use. */
export const formatTable = (rows: readonly Readonly<Record<string, unknown>>[]): string => {
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const cells = rows.map((row) => columns.map((column) => formatCell(row[column])));
  return formatColumns([columns, ...cells]);
};
