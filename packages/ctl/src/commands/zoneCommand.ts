import { CliError, exitCodes } from '@goldcrestscale/runtime';
import type { CommandContext } from './command.js';
import { RowStateCommand } from './rowStateCommand.js';

/** Takes an availability zone out and back. */
export class ZoneCommand extends RowStateCommand {
  override readonly name = 'zone';

  override readonly usage = 'zone out|in ID             Take an availability zone out or back';

  protected override readonly states = ['out', 'in'];

  /** Refuses to take out a zone that the table does not have: a misspelt name would take out nothing. */
  override async run(context: CommandContext, args: readonly string[]): Promise<undefined> {
    const [state, id] = args;
    if (state === 'out' && id !== undefined) {
      const { rows } = await context.openTable().readState(context.signal);
      if (!rows.has(`zone/${id}`)) {
        throw new CliError(
          `zone/${id} is not in the table; if the name is right, add it first: zone in ${id}`,
          exitCodes.refused,
        );
      }
    }
    return super.run(context, args);
  }
}
