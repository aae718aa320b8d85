import type { TableState } from '@goldcrestscale/core';
import { diffRows } from '../table/index.js';
import { formatCell } from '../output/index.js';
import type { Printer } from '../output/index.js';
import { Command } from './command.js';
import type { CommandContext } from './command.js';

const printChanges = (printer: Printer, before: TableState, after: TableState): void => {
  for (const [key, version] of after.rows) {
    const old = before.rows.get(key);
    if (old?.offset !== version.offset) {
      const fields = diffRows(old?.row, version.row);
      const changes = fields.map(({ field, to }) => `${field}=${formatCell(to)}`).join(' ');
      const { offset, editId, row } = version;
      printer.printResult(`${offset} ${key} ${changes} (edit ${editId})`, { offset, editId, row });
    }
  }
  for (const [key, { offset, editId }] of after.deleted) {
    if (before.rows.has(key)) {
      printer.printResult(`${offset} ${key} deleted (edit ${editId})`, { offset, editId, key });
    }
  }
};

/** Shows accepted edits as they come. */
export class WatchCommand extends Command {
  override readonly name = 'watch';

  override readonly usage = 'watch                      Show accepted edits as they come';

  override async run(context: CommandContext, args: readonly string[]): Promise<undefined> {
    this.requireArguments(args, 0);
    let before: TableState | undefined;
    for await (const state of context.openTable().watchStates(context.signal)) {
      if (before) printChanges(context.printer, before, state);
      else
        context.printer.printResult(`at offset ${state.nextOffset}`, {
          nextOffset: state.nextOffset,
        });
      before = state;
    }
  }
}
