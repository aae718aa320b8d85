import { CliError, exitCodes } from '@goldcrestscale/runtime';
import { parseRowKey, planChange } from '../table/index.js';
import { Command } from './command.js';
import type { CommandContext } from './command.js';
import { applyIfChanged } from './applyPlannedChange.js';

/** Deletes one row. */
export class DeleteCommand extends Command {
  override readonly name = 'delete';

  override readonly usage = 'delete KIND/ID             Delete a row';

  override async run(context: CommandContext, args: readonly string[]): Promise<undefined> {
    const [text = ''] = this.requireArguments(args, 1);
    const { key } = parseRowKey(text);
    const table = context.openTable();
    const state = await table.readState(context.signal);
    if (!state.rows.has(key)) throw new CliError(`${key} does not exist`, exitCodes.refused);
    await applyIfChanged(context, table, key, planChange(state, { action: 'delete', key }));
  }
}
