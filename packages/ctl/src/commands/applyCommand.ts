import { CliError, findExitCode } from '@goldcrestscale/runtime';
import type { PlannedChange, TableClient } from '../table/index.js';
import { applyPlanned } from './applyPlanned.js';
import { Command } from './command.js';
import type { CommandContext } from './command.js';
import { planFromFile, printPlan } from './filePlan.js';

const applyPlan = async (
  context: CommandContext,
  table: TableClient,
  plan: readonly PlannedChange[],
): Promise<void> => {
  let accepted = 0;
  try {
    for (const planned of plan) {
      await applyPlanned(context, table, planned);
      accepted += 1;
    }
  } catch (error) {
    const done = `${accepted} of ${plan.length} edits accepted; apply the file again for the rest`;
    throw new CliError(`${(error as Error).message}\n${done}`, findExitCode(error));
  }
};

/** Brings the table to what a file says. */
export class ApplyCommand extends Command {
  override readonly name = 'apply';

  override readonly usage = 'apply FILE [--dry-run]     Make the edits that a file of rows needs';

  override async run(context: CommandContext, args: readonly string[]): Promise<undefined> {
    const [file = ''] = this.requireArguments(args, 1);
    const table = context.openTable();
    const plan = await planFromFile(context, table, file);
    if (context.flags.dryRun || plan.length === 0) {
      printPlan(context.printer, plan);
      return;
    }
    await applyPlan(context, table, plan);
  }
}
