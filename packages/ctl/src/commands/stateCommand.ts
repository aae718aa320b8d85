import { CliError, exitCodes, loadSecret } from '@goldcrestscale/runtime';
import { fetchState } from '../http/entryClient.js';
import { Command } from './command.js';
import type { CommandContext } from './command.js';

/** Dumps the state of an entry VM. */
export class StateCommand extends Command {
  override readonly name = 'state';

  override readonly usage = 'state                      Dump the state of an entry VM';

  override async run(context: CommandContext, args: readonly string[]): Promise<undefined> {
    this.requireArguments(args, 0);
    const { operations } = context.settings;
    if (!operations) {
      throw new CliError('the settings have no "operations" listener', exitCodes.usage);
    }
    const key = await loadSecret(operations.key);
    const state = await fetchState(operations.address, key, context.signal);
    context.printer.printResult(JSON.stringify(state, undefined, 2), state);
  }
}
