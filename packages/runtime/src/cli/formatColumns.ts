/** Formats lines of cells with aligned columns; the first line gives the number of columns. */
export const formatColumns = (lines: readonly (readonly string[])[]): string => {
  const widths = (lines[0] ?? []).map((_, index) =>
    Math.max(...lines.map((line) => line[index]?.length ?? 0)),
  );
  return lines
    .map((line) => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  '))
    .map((line) => line.trimEnd())
    .join('\n');
};
