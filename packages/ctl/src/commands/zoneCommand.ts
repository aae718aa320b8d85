import { RowStateCommand } from './rowStateCommand.js';

/** Takes an availability zone out and back. */
export class ZoneCommand extends RowStateCommand {
  override readonly name = 'zone';

  override readonly usage = 'zone out|in ID             Take an availability zone out or back';

  protected override readonly states = ['out', 'in'];
}
