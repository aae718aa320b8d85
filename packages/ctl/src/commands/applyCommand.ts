import { CliError, findExitCode } from '@goldcrestscale/runtime';
import type { PlannedChange, TableClient } from '../table/index.js';
import { applyPlannedChange } from './applyPlannedChange.js';
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
    for (const plannedChange of plan) {
      await applyPlannedChange(context, table, plannedChange);
      accepted += 1;
    }
  } catch (error) {
    const progress = `${accepted} of ${plan.length} edits accepted; apply the file again to make the remaining ones`;
    throw new CliError(`${(error as Error).message}\n${progress}`, findExitCode(error));
  }
};

/** Applies the rows and deletions of a file. */
export class ApplyCommand extends Command {
  override readonly name = 'apply';

  override readonly usage = 'apply FILE [--dry-run]     Apply the rows and deletions of a file';

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
