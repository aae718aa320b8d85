import type { TableState } from '@goldcrestscale/core';
import { diffRows } from '../table/index.js';
import { formatCell } from '../output/index.js';
import type { Printer } from '../output/index.js';
import { Command } from './command.js';
import type { CommandContext } from './command.js';

const printChanges = (printer: Printer, previousState: TableState, state: TableState): void => {
  for (const [key, versionedRow] of state.rows) {
    const previous = previousState.rows.get(key);
    if (previous?.offset !== versionedRow.offset) {
      const fields = diffRows(previous?.row, versionedRow.row);
      const changes = fields.map(({ field, to }) => `${field}=${formatCell(to)}`).join(' ');
      const { offset, editId, row } = versionedRow;
      printer.printResult(`${offset} ${key} ${changes} (edit ${editId})`, { offset, editId, row });
    }
  }
  for (const [key, { offset, editId }] of state.deleted) {
    if (previousState.rows.has(key)) {
      printer.printResult(`${offset} ${key} deleted (edit ${editId})`, { offset, editId, key });
    }
  }
};

/** Shows accepted edits as they are read from the log. */
export class WatchCommand extends Command {
  override readonly name = 'watch';

  override readonly usage = 'watch                      Show accepted edits as they happen';

  override async run(context: CommandContext, args: readonly string[]): Promise<undefined> {
    this.requireArguments(args, 0);
    let previousState: TableState | undefined;
    for await (const state of context.openTable().watchStates(context.signal)) {
      if (previousState) printChanges(context.printer, previousState, state);
      else
        context.printer.printResult(`at offset ${state.nextOffset}`, {
          nextOffset: state.nextOffset,
        });
      previousState = state;
    }
  }
}
