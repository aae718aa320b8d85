import { CliError, exitCodes, findExitCode } from '@goldcrestscale/runtime';
import { fetchEntries } from '../http/entryClient.js';
import type { EntriesResponse } from '../http/entryClient.js';
import { Command } from './command.js';
import type { CommandContext } from './command.js';

const fetchFromFirstAvailable = async (context: CommandContext): Promise<EntriesResponse> => {
  const failures: string[] = [];
  for (const address of context.settings.entries) {
    try {
      return await fetchEntries(address, context.signal);
    } catch (error) {
      if (findExitCode(error) !== exitCodes.unavailable) throw error;
      failures.push((error as Error).message);
    }
  }
  if (failures.length === 0) throw new CliError('the settings have no "entries"', exitCodes.usage);
  throw new CliError(failures.join('\n'), exitCodes.unavailable);
};

/** Shows the entry VMs that callers are directed to. */
export class EntriesCommand extends Command {
  override readonly name = 'entries';

  override readonly usage =
    'entries                    Show the entry VMs that callers are directed to';

  override async run(context: CommandContext, args: readonly string[]): Promise<undefined> {
    this.requireArguments(args, 0);
    context.printer.printRows((await fetchFromFirstAvailable(context)).entries);
  }
}
