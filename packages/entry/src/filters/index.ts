/** The filter chain of a request. */
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
import type { AdmissionFilterOptions } from './admissionFilter.js';
import { DeadlineFilter } from './deadlineFilter.js';
import { DispatchFilter } from './dispatchFilter.js';
import type { DispatchObserver, DispatchFilterOptions } from './dispatchFilter.js';
import type { Exchange } from './exchange.js';
import type { Filter } from './filter.js';
import { FreshnessFilter } from './freshnessFilter.js';
import { AccountFilter } from './accountFilter.js';
import { createIdempotencyFilter } from './idempotencyFilter.js';
import { PrefixFilter } from './prefixFilter.js';
import type { PrefixFilterOptions } from './prefixFilter.js';
import { ErrorResponseFilter } from './errorResponseFilter.js';
import { WeightVersionFilter } from './weightVersionFilter.js';
import type { ZoneFilter } from './zoneFilter.js';

/** Observes the prompt cache usage that engines report. */
export interface CacheObserver {
  onUsage(
    exchange: Exchange,
    upstream: UpstreamView,
    cachedTokens: number,
    expectedCachedTokens: number,
  ): void;
}

/** Dependencies of the filter chain. */
export interface FilterChainOptions {
  readonly logger: Logger;
  readonly metrics: EntryMetrics;
  readonly zoneFilter: ZoneFilter;
  readonly decideFreshness: () => Freshness;
  readonly idempotencyGuard: IdempotencyGuard;
  readonly getTable: () => ConfigTable;
  readonly admission: AdmissionFilterOptions;
  readonly prefix: PrefixFilterOptions;
  readonly cacheObserver: CacheObserver;
  readonly dispatch: Omit<DispatchFilterOptions, 'observer'>;
}

const createDispatchObserver = (metrics: EntryMetrics, cache: CacheObserver): DispatchObserver => ({
  onFirstByte: (exchange) =>
    metrics.recordFirstByte(exchange.account?.id, performance.now() - exchange.receivedAtMs),
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

/** Creates the filter chain, outermost filter first. */
export const createFilterChain = (options: FilterChainOptions): readonly Filter[] => [
  new ErrorResponseFilter(options.logger, options.metrics),
  options.zoneFilter,
  new FreshnessFilter(options.decideFreshness),
  new AccountFilter(options.getTable),
  new DeadlineFilter(),
  createIdempotencyFilter({ guard: options.idempotencyGuard }),
  new WeightVersionFilter({
    getTable: options.getTable,
    listServedVersions: (model) => listServedVersions(options.dispatch.directory, model),
  }),
  new PrefixFilter(options.prefix),
  new AdmissionFilter(options.admission),
  new DispatchFilter({
    ...options.dispatch,
    observer: createDispatchObserver(options.metrics, options.cacheObserver),
  }),
];
