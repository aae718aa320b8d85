import { Command } from './command.js';
import type { CommandContext } from './command.js';
import { planFromFile, printPlan } from './filePlan.js';

/** Shows the changes that applying a file would make. */
export class DiffCommand extends Command {
  override readonly name = 'diff';

  override readonly usage = 'diff FILE                  Show what a file of rows would change';

  override async run(context: CommandContext, args: readonly string[]): Promise<undefined> {
    const [file = ''] = this.requireArguments(args, 1);
    printPlan(context.printer, await planFromFile(context, context.openTable(), file));
  }
}
