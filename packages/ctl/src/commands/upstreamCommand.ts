import { RowStateCommand } from './rowStateCommand.js';

/** Marks an upstream as leaving, or puts it back into service. */
export class UpstreamCommand extends RowStateCommand {
  override readonly name = 'upstream';

  override readonly usage =
    'upstream leaving|in ID     Drain an upstream, or put it back into service';

  protected override readonly allowedStates = ['leaving', 'in'];
}
