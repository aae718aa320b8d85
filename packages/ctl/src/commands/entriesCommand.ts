import { CliError, exitCodes, findExitCode } from '@goldcrestscale/runtime';
import { fetchEntries } from '../http/entryClient.js';
import type { EntriesAnswer } from '../http/entryClient.js';
import { Command } from './command.js';
import type { CommandContext } from './command.js';

const fetchFirstAnswer = async (context: CommandContext): Promise<EntriesAnswer> => {
  const failures: string[] = [];
  for (const address of context.settings.entries) {
    try {
      return await fetchEntries(address, context.signal);
    } catch (error) {
      if (findExitCode(error) !== exitCodes.unavailable) throw error;
      failures.push((error as Error).message);
    }
  }
  if (failures.length === 0) throw new CliError('the settings name no "entries"', exitCodes.usage);
  throw new CliError(failures.join('\n'), exitCodes.unavailable);
};

/** Shows which entry VMs callers are told to use. */
export class EntriesCommand extends Command {
  override readonly name = 'entries';

  override readonly usage =
    'entries                    Show which entry VMs callers are told to use';

  override async run(context: CommandContext, args: readonly string[]): Promise<undefined> {
    this.requireArguments(args, 0);
    context.printer.printRows((await fetchFirstAnswer(context)).entries);
  }
}
