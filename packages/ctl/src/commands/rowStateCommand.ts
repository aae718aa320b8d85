import { CliError, exitCodes } from '@goldcrestscale/runtime';
import { Command } from './command.js';
import type { CommandContext } from './command.js';
import { setFields } from './setCommand.js';

/** Sets the state of a row of one kind. */
export abstract class RowStateCommand extends Command {
  protected abstract readonly states: readonly string[];

  override async run(context: CommandContext, args: readonly string[]): Promise<undefined> {
    const [state = '', id = ''] = this.requireArguments(args, 2);
    if (!this.states.includes(state)) {
      throw new CliError(`usage: goldcrestctl ${this.usage}`, exitCodes.usage);
    }
    await setFields(context, `${this.name}/${id}`, [`state=${state}`]);
  }
}
