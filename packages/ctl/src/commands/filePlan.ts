import { formatCell } from '../output/index.js';
import type { Printer } from '../output/index.js';
import { planTableFile, readTableFile } from '../table/index.js';
import type { PlannedChange, TableClient } from '../table/index.js';
import type { CommandContext } from './command.js';

/** Prints the edits of a plan, field by field. */
export const printPlan = (printer: Printer, plan: readonly PlannedChange[]): void => {
  if (printer.json) {
    printer.printRows(plan.map(({ key, type, fields }) => ({ key, type, fields })));
    return;
  }
  for (const { key, type, fields } of plan) {
    printer.printResult(`${type} ${key}`, undefined);
    for (const { field, from, to } of fields) {
      printer.printResult(`  ${field}: ${formatCell(from)} -> ${formatCell(to)}`, undefined);
    }
  }
  if (plan.length === 0) printer.printResult('no difference', undefined);
};

/** Plans the edits that apply a file to the table. */
export const planFromFile = async (
  context: CommandContext,
  table: TableClient,
  file: string,
): Promise<PlannedChange[]> => {
  const state = await table.readState(context.signal);
  return planTableFile(state, await readTableFile(file, state));
};
