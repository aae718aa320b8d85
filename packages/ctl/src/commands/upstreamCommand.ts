import { RowStateCommand } from './rowStateCommand.js';

/** Marks an upstream as leaving and takes it back. */
export class UpstreamCommand extends RowStateCommand {
  override readonly name = 'upstream';

  override readonly usage = 'upstream leaving|in ID     Give an upstream no new work, or again';

  protected override readonly states = ['leaving', 'in'];
}
