import { CliError, exitCodes } from '@goldcrestscale/runtime';
import {
  mergeFields,
  parseFieldArguments,
  parseRow,
  parseRowKey,
  planChange,
} from '../table/index.js';
import { Command } from './command.js';
import type { CommandContext } from './command.js';
import { applyIfChanged } from './applyPlannedChange.js';

/** Sets fields of one row and creates the row if it does not exist. */
export const setFields = async (
  context: CommandContext,
  keyText: string,
  args: readonly string[],
): Promise<void> => {
  const { kind, id, key } = parseRowKey(keyText);
  const fields = parseFieldArguments(kind, args);
  const table = context.openTable();
  const state = await table.readState(context.signal);
  const current = state.rows.get(key)?.row;
  if (!current && kind === 'account') {
    throw new CliError(`${key} does not exist; use "account create ${id}"`, exitCodes.refused);
  }
  const row = parseRow(kind, mergeFields({ ...(current ?? { id }) }, fields), key);
  await applyIfChanged(context, table, key, planChange(state, { action: 'put', row }));
};

/** Sets fields of one row. */
export class SetCommand extends Command {
  override readonly name = 'set';

  override readonly usage = 'set KIND/ID FIELD=VALUE... Set fields; an empty value removes one';

  override async run(context: CommandContext, args: readonly string[]): Promise<undefined> {
    const [key, ...fields] = args;
    if (key === undefined || fields.length === 0) this.requireArguments([], 1);
    await setFields(context, key ?? '', fields);
  }
}
