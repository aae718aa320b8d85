import type { EditOutcome, EditRejection } from '@goldcrestscale/core';
import { CliError, exitCodes } from '@goldcrestscale/runtime';
import type { PlannedChange, TableClient } from '../table/index.js';
import type { CommandContext } from './command.js';

const describeRejection = (key: string, rejection: EditRejection): string => {
  if (rejection.reason === 'invalid')
    return `${key}: not allowed: ${rejection.problems.join('; ')}`;
  if (rejection.conflictingEditId === undefined) return `${key}: the row is gone; read it again`;
  const winner = `edit ${rejection.conflictingEditId} at offset ${rejection.conflictingOffset ?? 'unknown'}`;
  return `${key}: ${winner} came first; read the row and try again`;
};

const failOutcome = (key: string, outcome: Exclude<EditOutcome, { type: 'accepted' }>): never => {
  if (outcome.type === 'rejected') {
    throw new CliError(describeRejection(key, outcome.rejection), exitCodes.refused);
  }
  throw new CliError(
    `${key}: edit ${outcome.editId} was not read back in time and may still take effect; read the row later`,
    exitCodes.unavailable,
  );
};

/**
 * Makes one planned edit and prints "accepted" once it is read back.
 *
 * @throws CliError `refused` that names the winning edit, `unavailable` where the end is not known
 */
export const applyPlanned = async (
  context: CommandContext,
  table: TableClient,
  planned: PlannedChange,
): Promise<void> => {
  const outcome = await table.applyChange(planned.change, planned.baseOffset, context.signal);
  if (outcome.type !== 'accepted') {
    failOutcome(planned.key, outcome);
    return;
  }
  const { editId, offset } = outcome;
  context.printer.printResult(`${planned.key}: accepted as edit ${editId} at offset ${offset}`, {
    key: planned.key,
    result: 'accepted',
    editId,
    offset,
  });
};

/** Makes one planned edit, or says that the row is so already. */
export const applyOrSkip = async (
  context: CommandContext,
  table: TableClient,
  key: string,
  planned: PlannedChange | undefined,
): Promise<void> => {
  if (planned) {
    await applyPlanned(context, table, planned);
    return;
  }
  context.printer.printResult(`${key}: unchanged`, { key, result: 'unchanged' });
};
