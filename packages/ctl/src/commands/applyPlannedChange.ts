import type { EditOutcome, EditRejection } from '@goldcrestscale/core';
import { CliError, exitCodes } from '@goldcrestscale/runtime';
import type { PlannedChange, TableClient } from '../table/index.js';
import type { CommandContext } from './command.js';

const describeRejection = (key: string, rejection: EditRejection): string => {
  if (rejection.reason === 'invalid') return `${key}: rejected: ${rejection.problems.join('; ')}`;
  if (rejection.conflictingEditId === undefined)
    return `${key}: the row no longer exists; read it again`;
  const conflictingEdit = `edit ${rejection.conflictingEditId} at offset ${rejection.conflictingOffset ?? 'unknown'}`;
  return `${key}: ${conflictingEdit} came first; read the row and try again`;
};

const failEdit = (key: string, outcome: Exclude<EditOutcome, { type: 'accepted' }>): never => {
  if (outcome.type === 'rejected') {
    throw new CliError(describeRejection(key, outcome.rejection), exitCodes.refused);
  }
  throw new CliError(
    `${key}: edit ${outcome.editId} was not read back in time and may still take effect; read the row later`,
    exitCodes.unavailable,
  );
};

/**
 * Applies one planned edit and prints "accepted" once it has been read back from the log.
 *
 * @throws CliError `refused` that names the conflicting edit, `unavailable` if the outcome is unknown
 */
export const applyPlannedChange = async (
  context: CommandContext,
  table: TableClient,
  plannedChange: PlannedChange,
): Promise<void> => {
  const outcome = await table.applyChange(
    plannedChange.change,
    plannedChange.baseOffset,
    context.signal,
  );
  if (outcome.type !== 'accepted') {
    failEdit(plannedChange.key, outcome);
    return;
  }
  const { editId, offset } = outcome;
  context.printer.printResult(
    `${plannedChange.key}: accepted as edit ${editId} at offset ${offset}`,
    {
      key: plannedChange.key,
      result: 'accepted',
      editId,
      offset,
    },
  );
};

/** Applies a planned edit; without one, prints that the row is unchanged. */
export const applyIfChanged = async (
  context: CommandContext,
  table: TableClient,
  key: string,
  plannedChange: PlannedChange | undefined,
): Promise<void> => {
  if (plannedChange) {
    await applyPlannedChange(context, table, plannedChange);
    return;
  }
  context.printer.printResult(`${key}: unchanged`, { key, result: 'unchanged' });
};
