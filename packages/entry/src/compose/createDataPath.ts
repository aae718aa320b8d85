import { BudgetedRetryPolicy, LeastTimeRouter, createRandomGenerator } from '@goldcrestscale/core';
import type { ConfigTable } from '@goldcrestscale/core';
import type { InputBarrier, Logger } from '@goldcrestscale/runtime';
import type { PrefixIndexController } from '../controllers/prefixIndex/index.js';
import { ImportingRunner } from '../controllers/tiering/index.js';
import type { TieringController } from '../controllers/tiering/index.js';
import type { EntrySettings } from '../config.js';
import { CompletionRunner } from '../dispatch/completionRunner.js';
import { ServiceRunner } from '../dispatch/serviceRunner.js';
import { SlotRunner } from '../dispatch/slotRunner.js';
import { createFilterChain } from '../filters/index.js';
import type { CacheObserver } from '../filters/index.js';
import type { Filter } from '../filters/filter.js';
import { ZoneFilter } from '../filters/zoneFilter.js';
import type { EntryMetrics } from '../metrics.js';
import type { UpstreamClient } from '../upstream/upstreamClient.js';
import type { Controllers } from './createControllers.js';

/** Dependencies of the data path. */
export interface DataPathOptions {
  readonly controllers: Controllers;
  readonly client: UpstreamClient;
  readonly inputBarrier: InputBarrier;
  readonly logger: Logger;
  readonly metrics: EntryMetrics;
  /** Secret from which the block keys of all client accounts are derived. */
  readonly fleetSecret: string;
  readonly settings: EntrySettings;
  /** Aborts when the daemon stops; ends the filters' subscriptions. */
  readonly signal: AbortSignal;
}

/** Creates the observer that passes reported cache usage to the cache controllers. */
const createCacheObserver = (
  prefixIndex: PrefixIndexController,
  tiering: TieringController,
): CacheObserver => ({
  onUsage({ blocks, workload }, { upstreamId }, cachedTokens, expectedTokens) {
    if (!blocks || !workload) return;
    prefixIndex.recordUsage(upstreamId, blocks, cachedTokens, expectedTokens);
    tiering.recordCachedBlocks(upstreamId, workload.id, blocks);
  },
});

const createZoneFilter = ({ controllers, settings, signal }: DataPathOptions): ZoneFilter => {
  const { availabilityZone, entriesTtlMs } = settings;
  const getTable = (): ConfigTable => controllers.table.table;
  const filter = new ZoneFilter({ availabilityZone, entriesTtlMs, getTable });
  controllers.table.subscribe(() => filter.updateZoneState(), signal);
  return filter;
};

/** Creates the filter chain on the state of the controllers. */
export const createDataPath = (options: DataPathOptions): readonly Filter[] => {
  const { controllers, client, logger, metrics, fleetSecret } = options;
  const { prefixIndex, tiering, upstreams } = controllers;
  const { slots } = controllers.slots;
  return createFilterChain({
    logger: logger.createPartLogger('filters'),
    metrics,
    getTable: () => controllers.table.table,
    zoneFilter: createZoneFilter(options),
    decideFreshness: () => controllers.membership.decideFreshness(),
    idempotencyGuard: controllers.idempotency.guard,
    admission: controllers.usage,
    prefix: {
      fleetSecret,
      recordPrompt: (workloadId, blocks) => tiering.recordPrompt(workloadId, blocks),
    },
    cacheObserver: createCacheObserver(prefixIndex, tiering),
    dispatch: {
      router: new LeastTimeRouter({
        prefixIndex: prefixIndex.index,
        random: createRandomGenerator(),
        importSource: tiering.planner,
      }),
      budget: client.memory.budget,
      retryPolicy: new BudgetedRetryPolicy(createRandomGenerator()),
      inputBarrier: options.inputBarrier,
      directory: upstreams,
      completionRunner: new ImportingRunner(
        new SlotRunner(new CompletionRunner(client), slots),
        tiering,
        upstreams,
      ),
      serviceRunner: new SlotRunner(new ServiceRunner(client), slots),
    },
  });
};
