import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { BlockKey, UpstreamId, WorkloadId } from '../ids.js';
import type { ImportSource, StoredCopy } from '../routing/importPlan.js';
import type { PromptBlock } from '../routing/router.js';
import type { StoredBlock } from './blockFingerprint.js';
import {
  BLOCK_REPLICAS,
  IMPORT_OVERHEAD_MS,
  MIN_EXPORT_REUSE_PROBABILITY,
  SECOND_COPY_VALUE_FACTOR,
} from './constants.js';
import { ExportQueue } from './exportQueue.js';
import type { ExportCandidate } from './exportQueue.js';
import type { LinkTransfer } from './linkBudget.js';
import { ReuseModel } from './reuseModel.js';
import type { CatalogEntry, StoreCatalog, StoreView } from './storeCatalog.js';
import { StoreSet } from './storeSet.js';
import type { StoreState } from './storeSet.js';
import { AccessTracker } from './accessTracker.js';

/** Planned copy of a block from an upstream to a store VM. */
export interface ExportTask {
  readonly candidate: ExportCandidate;
  readonly storeId: UpstreamId;
  /** Blocks to evict first, to make room. */
  readonly evictedBlocks: readonly StoredBlock[];
  readonly transfer: LinkTransfer;
}

/** Outcome of an export. */
export type ExportOutcome =
  | { readonly kind: 'stored'; readonly block: StoredBlock }
  /** The upstream no longer held the block. */
  | { readonly kind: 'not-held' }
  | { readonly kind: 'store-failed' };

export interface TieringPlannerOptions {
  readonly random: RandomGenerator;
  /** Initial estimate of the KV cache size per token; replaced by the size of exported blocks. */
  readonly bytesPerToken: number;
}

/**
 * Decides which blocks are exported to store VMs and which are evicted there, and provides the
 * router with the stored copies of a block and estimates of their import time. A block's value is
 * its expected reuse rate times the cost of recomputing it, divided by its size. Imports start
 * immediately; exports have lower priority.
 */
export class TieringPlanner implements ImportSource {
  readonly reuseModel = new ReuseModel();

  private readonly accesses = new AccessTracker(this.reuseModel);

  private readonly stores = new StoreSet();

  private readonly queue = new ExportQueue();

  /** Running exports by store VM and block, to avoid concurrent copies of a block to one store. */
  private readonly runningExports = new Set<string>();

  private bytesPerToken: number;

  constructor(private readonly options: TieringPlannerOptions) {
    this.bytesPerToken = options.bytesPerToken;
  }

  /** Adds a store VM or updates its view. */
  updateStore(view: StoreView): void {
    this.stores.update(view);
  }

  removeStore(storeId: UpstreamId): void {
    this.stores.remove(storeId);
  }

  getCatalog(storeId: UpstreamId): StoreCatalog | undefined {
    return this.stores.find(storeId)?.catalog;
  }

  /** Removes the queued exports of an upstream that lost its cache. */
  removeUpstream(upstreamId: UpstreamId): void {
    this.queue.removeUpstream(upstreamId);
  }

  listCopies(key: BlockKey): readonly StoredCopy[] {
    return this.stores.listCopies(key);
  }

  estimateImportMs(storeId: UpstreamId, _upstreamId: UpstreamId, bytes: number): number {
    const store = this.stores.find(storeId);
    if (!store?.catalog.usable) return Number.POSITIVE_INFINITY;
    return store.link.estimateImportMs(bytes) + IMPORT_OVERHEAD_MS;
  }

  /** Records a prompt: updates the reuse model and marks its stored blocks as used. */
  recordAccess(workloadId: WorkloadId, blocks: readonly PromptBlock[]): void {
    this.accesses.recordAccess(workloadId, blocks);
    const nowMs = Date.now();
    blocks.forEach(({ key }) => this.stores.markUsed(key, nowMs));
  }

  /** Records that an upstream holds a prompt's blocks, and queues those with too few copies. */
  recordCachedBlocks(
    upstreamId: UpstreamId,
    workloadId: WorkloadId,
    blocks: readonly PromptBlock[],
  ): void {
    const queuedAtMs = Date.now();
    blocks.forEach(({ key, tokens }, position) => {
      const previous = blocks[position - 1]?.key;
      const next = blocks[position + 1]?.key;
      if (next) this.stores.setNext(key, next);
      if (this.stores.countCopies(key) >= Math.min(BLOCK_REPLICAS, this.stores.size)) return;
      const bytes = tokens * this.bytesPerToken;
      const links = { position, previous, next };
      this.queue.add({ key, upstreamId, workloadId, ...links, tokens, bytes, queuedAtMs });
    });
  }

  /** Starts the most valuable export that a link can take now; undefined if there is none. */
  startNextExport(): ExportTask | undefined {
    const availableStores = this.stores
      .listByFillRatio()
      .filter(([, { catalog, link }]) => catalog.usable && link.canExport(0));
    if (availableStores.length === 0 || this.queue.size === 0) return undefined;
    for (const candidate of this.queue.listByValue((one) => this.computeCandidateValue(one))) {
      const planned = this.planExport(candidate, availableStores);
      if (planned === 'not-worth') this.queue.delete(candidate.key);
      else if (planned !== 'skip') return planned;
    }
    return undefined;
  }

  /** Ends an export and, if it succeeded, adds the block to the store VM's catalog. */
  finishExport(task: ExportTask, outcome: ExportOutcome): void {
    const { candidate, storeId, transfer } = task;
    this.runningExports.delete(`${storeId}/${candidate.key}`);
    const store = this.stores.find(storeId);
    if (!store) return;
    store.link.finish(transfer, outcome.kind === 'stored');
    store.catalog.release(candidate.bytes);
    if (outcome.kind !== 'not-held') store.catalog.recordOutcome(outcome.kind === 'stored');
    if (outcome.kind !== 'stored') return;
    const { workloadId, position, tokens, next, queuedAtMs } = candidate;
    const { block } = outcome;
    this.bytesPerToken = block.length / tokens;
    store.catalog.add({ block, workloadId, position, tokens, next, lastUsedAtMs: queuedAtMs });
    if (this.stores.countCopies(candidate.key) < Math.min(BLOCK_REPLICAS, this.stores.size)) {
      this.queue.add(candidate);
    }
  }

  /** Starts an import over a store VM's link. */
  beginImport(storeId: UpstreamId, bytes: number): LinkTransfer | undefined {
    return this.stores.find(storeId)?.link.beginImport(bytes);
  }

  /** Ends an import; blocks that are missing or failed verification are removed from the catalog. */
  finishImport(
    storeId: UpstreamId,
    transfer: LinkTransfer,
    succeeded: boolean,
    faultyKeys: readonly BlockKey[] = [],
  ): void {
    const store = this.stores.find(storeId);
    store?.link.finish(transfer, succeeded);
    store?.catalog.recordOutcome(succeeded);
    faultyKeys.forEach((key) => store?.catalog.remove(key));
  }

  /** Lists the stored blocks most likely to be reused, to warm up the cache of an upstream. */
  planWarmUp(count: number): CatalogEntry[] {
    const best = new Map<BlockKey, { entry: CatalogEntry; value: number }>();
    for (const [, { catalog }] of this.stores.list()) {
      if (catalog.usable) {
        catalog.list().forEach((entry) => {
          best.set(entry.block.key, { entry, value: this.computeValue(entry) });
        });
      }
    }
    return [...best.values()]
      .sort((left, right) => right.value - left.value)
      .slice(0, count)
      .map(({ entry }) => entry)
      .sort((left, right) => left.position - right.position);
  }

  /** Returns counts for the state dump. */
  dump(): unknown {
    return {
      waitingExports: this.queue.size,
      runningExports: this.runningExports.size,
      stores: this.stores.list().map(([, { catalog, link }]) => ({
        storeId: catalog.view.storeId,
        usable: catalog.usable,
        blocks: catalog.size,
        usedBytes: catalog.usedBytes,
        capacityBytes: catalog.view.capacityBytes,
        linkBytesPerSecond: Math.round(link.bytesPerSecond),
      })),
    };
  }

  private computeValue(entry: CatalogEntry): number {
    const idleMs = Date.now() - entry.lastUsedAtMs;
    const { reusesPerHour } = this.reuseModel.estimateReuse(entry.workloadId, idleMs);
    return (reusesPerHour * entry.tokens) / entry.block.length;
  }

  private computeCandidateValue(candidate: ExportCandidate): number {
    const idleMs = Date.now() - candidate.queuedAtMs;
    const forecast = this.reuseModel.estimateReuse(candidate.workloadId, idleMs);
    if (forecast.probability < MIN_EXPORT_REUSE_PROBABILITY) return 0;
    const copyFactor = this.stores.countCopies(candidate.key) > 0 ? SECOND_COPY_VALUE_FACTOR : 1;
    return (forecast.reusesPerHour * candidate.tokens * copyFactor) / candidate.bytes;
  }

  /** Plans an export; undefined if it must wait for a link, `skip` if another one may go first. */
  private planExport(
    candidate: ExportCandidate,
    availableStores: readonly (readonly [UpstreamId, StoreState])[],
  ): ExportTask | 'not-worth' | 'skip' | undefined {
    const value = this.computeCandidateValue(candidate);
    const targetStores = availableStores.filter(([storeId, { catalog }]) => {
      const exportKey = `${storeId}/${candidate.key}`;
      return !catalog.get(candidate.key) && !this.runningExports.has(exportKey);
    });
    if (value === 0) return 'not-worth';
    if (targetStores.length === 0) return 'skip';
    const requiredStoreId = this.findRequiredStore(candidate);
    const admittingStores = targetStores.filter(
      ([storeId, { link }]) =>
        (requiredStoreId === undefined || requiredStoreId === storeId) &&
        link.canExport(candidate.bytes),
    );
    if (admittingStores.length === 0 && requiredStoreId !== undefined) return 'skip';
    if (admittingStores.length === 0) return undefined;
    for (const [storeId, store] of admittingStores) {
      const drops = this.planEvictions(store.catalog, candidate.bytes, value);
      if (drops) return this.beginExport(candidate, storeId, store, drops);
    }
    return 'not-worth';
  }

  /**
   * Finds the store VM that must take a block's first copy: the one that holds the preceding block.
   * This keeps prompts together, so that the loss of a store VM affects few prompts entirely rather
   * than every prompt partially.
   */
  private findRequiredStore({ key, previous }: ExportCandidate): UpstreamId | undefined {
    if (previous === undefined || this.stores.countCopies(key) > 0) return undefined;
    const holders = this.stores
      .list()
      .filter(
        ([storeId, { catalog }]) =>
          catalog.usable &&
          (catalog.get(previous) ?? this.runningExports.has(`${storeId}/${previous}`)),
      );
    return holders.length === 1 ? holders[0]![0] : undefined;
  }

  private beginExport(
    candidate: ExportCandidate,
    storeId: UpstreamId,
    { catalog, link }: StoreState,
    drops: readonly StoredBlock[],
  ): ExportTask | undefined {
    const transfer = link.tryBeginExport(candidate.bytes);
    if (!transfer) return undefined;
    drops.forEach(({ key }) => catalog.remove(key));
    catalog.reserve(candidate.bytes);
    this.runningExports.add(`${storeId}/${candidate.key}`);
    this.queue.delete(candidate.key);
    return { candidate, storeId, evictedBlocks: drops, transfer };
  }

  /** Selects the blocks to evict to make room; undefined if all stored blocks are worth more. */
  private planEvictions(
    catalog: StoreCatalog,
    bytes: number,
    value: number,
  ): StoredBlock[] | undefined {
    if (catalog.hasRoom(bytes)) return [];
    const least = catalog.findLeastValuable(this.options.random, (entry) => {
      const copyFactor =
        this.stores.countCopies(entry.block.key) > 1 ? SECOND_COPY_VALUE_FACTOR : 1;
      return this.computeValue(entry) * copyFactor;
    });
    if (!least || least.value >= value) return undefined;
    // Evict a prompt from its end, so that the remaining prefix stays usable. A block with another
    // copy can be evicted at any position.
    const isOnlyCopy = this.stores.countCopies(least.entry.block.key) < 2;
    const { block } = isOnlyCopy ? catalog.findTail(least.entry) : least.entry;
    return block.length < bytes ? undefined : [block];
  }
}
