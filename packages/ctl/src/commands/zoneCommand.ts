import { CliError, exitCodes } from '@goldcrestscale/runtime';
import type { CommandContext } from './command.js';
import { RowStateCommand } from './rowStateCommand.js';

/** Takes an availability zone out of service, or puts it back. */
export class ZoneCommand extends RowStateCommand {
  override readonly name = 'zone';

  override readonly usage =
    'zone out|in ID             Take an availability zone out of service, or put it back';

  protected override readonly allowedStates = ['out', 'in'];

  /** Rejects taking out a zone that is not in the table: a misspelt name would have no effect. */
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
