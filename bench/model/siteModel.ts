import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import {
  CacheEventFeed,
  LeastTimeRouter,
  PrefixIndex,
  TieringPlanner,
  toId,
} from '@goldcrestscale/core';
import type { Router, RouteRequest, UpstreamId } from '@goldcrestscale/core';
import type { TraceRequest } from '../workloads/generateTrace.js';
import { LeastLoadRouter } from './leastLoadRouter.js';
import { PrefixAffinityRouter } from './prefixAffinityRouter.js';
import { RoundRobinRouter } from './roundRobinRouter.js';
import { transferCacheEvents } from './transferCacheEvents.js';
import { EngineModel } from './engineModel.js';
import { EntryModel } from './entryModel.js';
import { EventQueue } from './eventQueue.js';
import { RunRecord } from './runRecord.js';
import {
  COLD_CONCURRENT_REQUESTS,
  ENGINE_ZONES,
  ENTRY_COUNT,
  EVENT_POLL_INTERVAL_MS,
  EXPORT_POLL_INTERVAL_MS,
  KV_BYTES_PER_TOKEN,
  LOAD_LAG_MS,
  LOAD_REPORT_INTERVAL_MS,
  NETWORK_LATENCY_MS,
  STORE_ZONES,
} from './constants.js';
import { StoreModel } from './storeModel.js';
import { BlockTransfers } from './blockTransfers.js';

/** Routing policies that the benchmarks compare. */
export type RoutingPolicy = 'round robin' | 'least load' | 'prefix affinity' | 'ours';

export const BASELINE_POLICIES: readonly RoutingPolicy[] = [
  'round robin',
  'least load',
  'prefix affinity',
];

/** Temporary outage of an availability zone. */
export interface ZoneOutage {
  readonly zone: string;
  readonly outAtMs: number;
  readonly backAtMs: number;
}

const START_MS = 1_700_000_000_000;
const NO_SLOT_RETRY_MS = 50;
const WARM_UP_BLOCKS = 100;

/** Simulated site: real routing and tiering code with simulated engines, store VMs and links. */
export class SiteModel {
  private readonly queue = new EventQueue(START_MS);

  private readonly random: RandomGenerator = xoroshiro128plus(7);

  private readonly index = new PrefixIndex();

  private readonly feed = new CacheEventFeed(this.index);

  private readonly planner = new TieringPlanner({
    random: xoroshiro128plus(8),
    bytesPerToken: KV_BYTES_PER_TOKEN,
  });

  private readonly engines = ENGINE_ZONES.map(
    (zone, i) => new EngineModel(toId<UpstreamId>(`engine-${i}`), zone, this.queue),
  );

  private readonly stores: readonly StoreModel[];

  private readonly transfers: BlockTransfers;

  private readonly entries: readonly EntryModel[];

  private readonly zonesOut = new Set<string>();

  private readonly record = new RunRecord();

  constructor(private readonly policy: RoutingPolicy) {
    this.stores =
      policy === 'ours'
        ? STORE_ZONES.map(
            (zone, i) => new StoreModel(toId<UpstreamId>(`store-${i}`), zone, this.queue),
          )
        : [];
    this.transfers = new BlockTransfers({
      planner: this.planner,
      engines: new Map(this.engines.map((engine) => [engine.upstreamId, engine])),
      stores: new Map(this.stores.map((store) => [store.storeId, store])),
    });
    this.entries = Array.from(
      { length: ENTRY_COUNT },
      (_, i) =>
        new EntryModel(this.createRouter(i), this.engines, (zone) => !this.zonesOut.has(zone)),
    );
  }

  /** Runs a trace for the given duration of simulated time. */
  run(trace: readonly TraceRequest[], durationMs: number, outage?: ZoneOutage): RunRecord {
    this.updateStores();
    this.scheduleEvery(LOAD_REPORT_INTERVAL_MS, () => this.publishLoad());
    this.scheduleEvery(EVENT_POLL_INTERVAL_MS, () => this.pollEvents());
    if (this.policy === 'ours') {
      this.scheduleEvery(EXPORT_POLL_INTERVAL_MS, () => {
        this.updateStores();
        this.transfers.startExports();
      });
    }
    if (outage) this.scheduleOutage(outage);
    this.scheduleTrace(trace, 0);
    this.queue.runUntil(START_MS + durationMs);
    this.record.linkBytes = this.stores.reduce((sum, store) => sum + store.link.carriedBytes, 0);
    this.queue.close();
    return this.record;
  }

  private createRouter(entryIndex: number): Router {
    switch (this.policy) {
      case 'round robin':
        return new RoundRobinRouter();
      case 'least load':
        return new LeastLoadRouter();
      case 'prefix affinity':
        return new PrefixAffinityRouter(this.index);
      default:
        return new LeastTimeRouter({
          prefixIndex: this.index,
          random: xoroshiro128plus(100 + entryIndex),
          importSource: this.planner,
        });
    }
  }

  private scheduleEvery(intervalMs: number, action: () => void): void {
    this.queue.schedule(intervalMs, () => {
      action();
      this.scheduleEvery(intervalMs, action);
    });
  }

  private scheduleTrace(trace: readonly TraceRequest[], index: number): void {
    const request = trace[index];
    if (!request) return;
    this.queue.schedule(START_MS + request.atMs - Date.now(), () => {
      const entry = this.entries[index % ENTRY_COUNT]!;
      this.record.accepted += 1;
      if (this.policy === 'ours') this.planner.recordAccess(request.workload.id, request.blocks);
      this.dispatch(entry, request, new Set());
      this.scheduleTrace(trace, index + 1);
    });
  }

  private dispatch(
    entry: EntryModel,
    traceRequest: TraceRequest,
    excluded: ReadonlySet<UpstreamId>,
  ): void {
    const request: RouteRequest = {
      accountId: traceRequest.workload.accountId,
      workload: traceRequest.workload,
      blocks: traceRequest.blocks,
      promptTokens: traceRequest.promptTokens,
      excludedUpstreams: excluded,
      avoidedZones: new Set(),
    };
    const route = entry.choose(request);
    if (!route) {
      this.queue.schedule(NO_SLOT_RETRY_MS, () => this.dispatch(entry, traceRequest, new Set()));
      return;
    }
    const engine = this.engines.find(({ upstreamId }) => upstreamId === route.upstreamId)!;
    this.transfers.importBlocks(engine, route.imports, traceRequest.blocks, () => {
      if (this.canDispatch(engine)) this.startJob(engine, traceRequest, route.expectedCachedTokens);
      else this.dispatch(entry, traceRequest, new Set([...excluded, engine.upstreamId]));
    });
  }

  /** Rechecks the engine before dispatch, as the daemon does; a request limit replaces slot grants. */
  private canDispatch(engine: EngineModel): boolean {
    if (this.zonesOut.has(engine.zone)) return false;
    return !engine.cold || engine.inFlight < COLD_CONCURRENT_REQUESTS;
  }

  private startJob(
    engine: EngineModel,
    traceRequest: TraceRequest,
    expectedCachedTokens: number,
  ): void {
    engine.accept({
      blocks: traceRequest.blocks,
      promptTokens: traceRequest.promptTokens,
      outputTokens: traceRequest.outputTokens,
      onFirstToken: (cachedTokens) => {
        const nowMs = Date.now();
        this.record.add(
          traceRequest,
          nowMs - START_MS + NETWORK_LATENCY_MS - traceRequest.atMs,
          cachedTokens,
        );
        this.index.recordUsage(
          engine.upstreamId,
          traceRequest.blocks,
          cachedTokens,
          expectedCachedTokens,
        );
        if (this.policy !== 'ours') return;
        this.planner.recordCachedBlocks(
          engine.upstreamId,
          traceRequest.workload.id,
          traceRequest.blocks,
        );
        this.transfers.startExports();
      },
      onFinish: () => {
        this.record.finished += 1;
      },
    });
  }

  private publishLoad(): void {
    for (const engine of this.engines) {
      const load = engine.sampleLoad();
      this.queue.schedule(LOAD_LAG_MS, () => {
        this.entries.forEach((entry) => entry.applyLoad(engine.upstreamId, load));
      });
    }
  }

  private pollEvents(): void {
    this.engines.forEach((engine) =>
      transferCacheEvents(engine, this.feed, this.random, this.queue),
    );
  }

  private updateStores(): void {
    this.stores.forEach((store) =>
      this.planner.updateStore(store.getView(!this.zonesOut.has(store.zone))),
    );
  }

  private scheduleOutage(outage: ZoneOutage): void {
    this.queue.schedule(outage.outAtMs, () => this.zonesOut.add(outage.zone));
    this.queue.schedule(outage.backAtMs, () => this.resumeZone(outage.zone));
  }

  /** Restores a zone: its engines are restarted, and its store VMs keep only what is on disk. */
  private resumeZone(zone: string): void {
    this.zonesOut.delete(zone);
    const engines = this.engines.filter((engine) => engine.zone === zone);
    engines.forEach((engine) => {
      engine.restart();
      this.feed.updateBoot(engine.upstreamId, engine.bootId);
      this.planner.removeUpstream(engine.upstreamId);
    });
    for (const store of this.stores.filter((one) => one.zone === zone)) {
      store.restart();
      const catalog = this.planner.getCatalog(store.storeId)!;
      catalog.applyManifest(store.getIncarnation(), store.listManifest());
    }
    this.updateStores();
    engines.forEach((engine) => this.warmUp(engine));
  }

  private warmUp(engine: EngineModel): void {
    if (this.policy !== 'ours') return;
    const imports = this.planner.planWarmUp(WARM_UP_BLOCKS).map(({ block }) => ({
      key: block.key,
      storeId: block.storeId,
      name: block.name,
      bytes: block.length,
    }));
    const blocks = imports.map(({ key, bytes }) => ({ key, tokens: bytes / KV_BYTES_PER_TOKEN }));
    this.transfers.importBlocks(engine, imports, blocks, () => {});
  }
}
