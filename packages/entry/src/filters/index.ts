/** The filters of a request, in their order. */
import type {
  ConfigTable,
  Freshness,
  IdempotencyGuard,
  UpstreamView,
  WeightVersion,
} from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import type { UpstreamDirectory } from '../dispatch/upstreamDirectory.js';
import type { EntryMetrics } from '../metrics.js';
import { AdmissionFilter } from './admissionFilter.js';
import type { AdmissionOptions } from './admissionFilter.js';
import { DeadlineFilter } from './deadlineFilter.js';
import { DispatchFilter } from './dispatchFilter.js';
import type { DispatchObserver, DispatchOptions } from './dispatchFilter.js';
import type { Exchange } from './exchange.js';
import type { Filter } from './filter.js';
import { FreshnessFilter } from './freshnessFilter.js';
import { IdentifyAccountFilter } from './identifyAccountFilter.js';
import { createOnceFilter } from './onceFilter.js';
import { PrefixFilter } from './prefixFilter.js';
import type { PrefixFilterOptions } from './prefixFilter.js';
import { VerdictGuardFilter } from './verdictGuardFilter.js';
import { WeightVersionFilter } from './weightVersionFilter.js';
import type { ZoneFilter } from './zoneFilter.js';

/** Told what engines report of the reuse of prompts. */
export interface CacheObserver {
  onUsage(
    exchange: Exchange,
    upstream: UpstreamView,
    cachedTokens: number,
    expectedTokens: number,
  ): void;
}

/** What the chain is built from. */
export interface FilterOptions {
  readonly logger: Logger;
  readonly metrics: EntryMetrics;
  readonly zoneFilter: ZoneFilter;
  readonly decideFreshness: () => Freshness;
  readonly onceGuard: IdempotencyGuard;
  readonly table: () => ConfigTable;
  readonly admission: AdmissionOptions;
  readonly prefix: PrefixFilterOptions;
  readonly cache: CacheObserver;
  readonly dispatch: Omit<DispatchOptions, 'observer'>;
}

const createObserver = (metrics: EntryMetrics, cache: CacheObserver): DispatchObserver => ({
  onFirstByte: (exchange) =>
    metrics.recordFirstByte(exchange.account?.id, Date.now() - exchange.receivedAtMs),
  onUsage(exchange, upstream, usage, expectedCachedTokens) {
    metrics.recordUsage(exchange.account?.id, usage);
    cache.onUsage(exchange, upstream, usage.cachedTokens, expectedCachedTokens);
  },
  onFailure: (_exchange, upstream, error) => metrics.recordFailure(upstream.upstreamId, error),
});

const listServedVersions = (
  directory: UpstreamDirectory,
  model: string,
): readonly WeightVersion[] =>
  directory
    .listEngines(model)
    .filter((view) => view.eligible)
    .flatMap((view) => view.weightVersion ?? []);

/** Creates the chain, outermost filter first. */
export const createFilters = (options: FilterOptions): readonly Filter[] => [
  new VerdictGuardFilter(options.logger, options.metrics),
  options.zoneFilter,
  new FreshnessFilter(options.decideFreshness),
  new IdentifyAccountFilter(options.table),
  new DeadlineFilter(),
  createOnceFilter({ guard: options.onceGuard }),
  new WeightVersionFilter({
    table: options.table,
    listServedVersions: (model) => listServedVersions(options.dispatch.directory, model),
  }),
  new PrefixFilter(options.prefix),
  new AdmissionFilter(options.admission),
  new DispatchFilter({
    ...options.dispatch,
    observer: createObserver(options.metrics, options.cache),
  }),
];
