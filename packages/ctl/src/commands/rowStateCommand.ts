import { CliError, exitCodes } from '@goldcrestscale/runtime';
import { Command } from './command.js';
import type { CommandContext } from './command.js';
import { setFields } from './setCommand.js';

/** Base of the commands that set the `state` field of a row. */
export abstract class RowStateCommand extends Command {
  protected abstract readonly allowedStates: readonly string[];

  override async run(context: CommandContext, args: readonly string[]): Promise<undefined> {
    const [state = '', id = ''] = this.requireArguments(args, 2);
    if (!this.allowedStates.includes(state)) {
      throw new CliError(`usage: goldcrestctl ${this.usage}`, exitCodes.usage);
    }
    await setFields(context, `${this.name}/${id}`, [`state=${state}`]);
  }
}
