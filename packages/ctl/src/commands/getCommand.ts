import type { RowKind, VersionedRow } from '@goldcrestscale/core';
import { CliError, exitCodes } from '@goldcrestscale/runtime';
import { compareRows, parseRowKey, parseRowKind, ROW_KINDS } from '../table/index.js';
import { Command } from './command.js';
import type { CommandContext } from './command.js';

const selectRows = (versionedRows: readonly VersionedRow[], selector?: string): VersionedRow[] => {
  if (selector === undefined) return [...versionedRows];
  if (!selector.includes('/')) {
    const kind = parseRowKind(selector);
    return versionedRows.filter(({ row }) => row.kind === kind);
  }
  const { kind, id, key } = parseRowKey(selector);
  const found = versionedRows.filter(({ row }) => row.kind === kind && row.id === id);
  if (found.length === 0) throw new CliError(`${key} does not exist`, exitCodes.failure);
  return found;
};

const printRowsOfKind = (
  { printer }: CommandContext,
  versionedRows: readonly VersionedRow[],
  kind: RowKind,
): void => {
  const rows = versionedRows
    .filter(({ row }) => row.kind === kind)
    .map(({ row, offset }) => {
      const printable = row.kind === 'account' ? { ...row, keyHashes: row.keyHashes.length } : row;
      return { ...printable, offset };
    });
  if (rows.length > 0) printer.printRows(rows);
};

/** Shows rows of the table. */
export class GetCommand extends Command {
  override readonly name = 'get';

  override readonly usage = 'get [KIND[/ID]]            Show rows';

  override async run(context: CommandContext, args: readonly string[]): Promise<undefined> {
    if (args.length > 1) this.requireArguments(args, 1);
    const state = await context.openTable().readState(context.signal);
    const versionedRows = [...state.rows.values()].sort((left, right) =>
      compareRows(left.row, right.row),
    );
    const selected = selectRows(versionedRows, args[0]);
    if (context.printer.json) {
      const rows = selected.map(({ row, offset, editId }) => ({ ...row, offset, editId }));
      context.printer.printRows(rows);
      return;
    }
    ROW_KINDS.forEach((kind) => printRowsOfKind(context, selected, kind));
  }
}
