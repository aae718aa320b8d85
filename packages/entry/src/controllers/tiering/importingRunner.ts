import { AttemptRunner } from '../../dispatch/attempt.js';
import type { Attempt } from '../../dispatch/attempt.js';
import { createNoUpstreamRefusal } from '../../dispatch/upstreamDirectory.js';
import type { UpstreamDirectory } from '../../dispatch/upstreamDirectory.js';
import type { TieringController } from './tieringController.js';

/** Imports the blocks of a route into its engine before running the attempt. */
export class ImportingRunner extends AttemptRunner {
  constructor(
    private readonly runner: AttemptRunner,
    private readonly tiering: Pick<TieringController, 'import'>,
    private readonly directory: Pick<UpstreamDirectory, 'findView'>,
  ) {
    super();
  }

  override async run(attempt: Attempt): Promise<void> {
    const { route, upstream, exchange, signal } = attempt;
    if (route.imports.length > 0) {
      await this.tiering.import(upstream, route.imports, signal);
      // The import takes time, so the preconditions of the attempt are checked again before
      // sending.
      exchange.assertSendable();
      if (!this.directory.findView(upstream.upstreamId)?.eligible) throw createNoUpstreamRefusal();
    }
    await this.runner.run(attempt);
  }
}
