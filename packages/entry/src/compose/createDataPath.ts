import { BudgetedRetryPolicy, LeastLoadRouter, createGenerator } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import { CompletionRunner } from '../dispatch/completionRunner.js';
import { ServiceRunner } from '../dispatch/serviceRunner.js';
import { createFilters } from '../filters/index.js';
import type { Filter } from '../filters/filter.js';
import type { EntryMetrics } from '../metrics.js';
import type { UpstreamClient } from '../upstream/upstreamClient.js';
import type { Controllers } from './createControllers.js';

/** What the way of a request is built from. */
export interface DataPathOptions {
  readonly controllers: Controllers;
  readonly client: UpstreamClient;
  readonly logger: Logger;
  readonly metrics: EntryMetrics;
}

/** Creates the filters of a request over the controllers' state. */
export const createDataPath = (options: DataPathOptions): readonly Filter[] => {
  const { controllers, client, logger, metrics } = options;
  return createFilters({
    logger: logger.createPart('filters'),
    metrics,
    table: () => controllers.table.table,
    decideFreshness: () => controllers.membership.decideFreshness(),
    onceGuard: controllers.once.guard,
    admission: controllers.usage,
    dispatch: {
      router: new LeastLoadRouter(),
      retries: new BudgetedRetryPolicy(createGenerator()),
      directory: controllers.upstreams,
      completions: new CompletionRunner(client),
      services: new ServiceRunner(client),
    },
  });
};
