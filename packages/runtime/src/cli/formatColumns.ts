/** Formats rows of cells as aligned columns; the first row determines the number of columns. */
export const formatColumns = (rows: readonly (readonly string[])[]): string => {
  const widths = (rows[0] ?? []).map((_, index) =>
    Math.max(...rows.map((line) => line[index]?.length ?? 0)),
  );
  return rows
    .map((line) => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  '))
    .map((line) => line.trimEnd())
    .join('\n');
};
