import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { BlockKey, UpstreamId, WorkloadId } from '../ids.js';
import type { ImportSource, StoredCopy } from '../routing/importPlan.js';
import type { PromptBlock } from '../routing/router.js';
import type { StoredBlock } from './blockSeal.js';
import {
  BLOCK_COPIES,
  IMPORT_OVERHEAD_MS,
  MIN_EXPORT_RETURN,
  SECOND_COPY_VALUE,
} from './constants.js';
import { ExportQueue } from './exportQueue.js';
import type { ExportCandidate } from './exportQueue.js';
import type { LinkTransfer } from './linkBudget.js';
import { ReturnModel } from './returnModel.js';
import type { CatalogEntry, StoreCatalog, StoreView } from './storeCatalog.js';
import { StoreSet } from './storeSet.js';
import type { KnownStore } from './storeSet.js';
import { VisitTracker } from './visitTracker.js';

/** An order to copy a block from an upstream to a store VM. */
export interface ExportOrder {
  readonly candidate: ExportCandidate;
  readonly storeId: UpstreamId;
  /** Blocks to free first. */
  readonly drops: readonly StoredBlock[];
  readonly transfer: LinkTransfer;
}

/** How an export ended. */
export type ExportOutcome =
  | { readonly kind: 'stored'; readonly block: StoredBlock }
  /** The upstream no longer held the block. */
  | { readonly kind: 'not-held' }
  | { readonly kind: 'store-failed' };

/** Options of a planner. */
export interface TieringPlannerOptions {
  readonly random: RandomGenerator;
  /** Bytes of the KV cache of one token until the first export shows them. */
  readonly bytesPerToken: number;
}

/**
 * Decides what goes to the store VMs, what is dropped there, and tells routing what can be
 * imported and how fast. A block's value is its expected returns times the work of recomputing
 * it, over its bytes. Prompts import at once; exports follow behind them.
 */
export class TieringPlanner implements ImportSource {
  readonly returns = new ReturnModel();

  private readonly visits = new VisitTracker(this.returns);

  private readonly stores = new StoreSet();

  private readonly queue = new ExportQueue();

  /** Blocks under export, so that no block is copied twice to one store VM at once. */
  private readonly exporting = new Set<string>();

  private bytesPerToken: number;

  constructor(private readonly options: TieringPlannerOptions) {
    this.bytesPerToken = options.bytesPerToken;
  }

  /** Takes in the newest view of a store VM. */
  updateStore(view: StoreView): void {
    this.stores.update(view);
  }

  removeStore(storeId: UpstreamId): void {
    this.stores.remove(storeId);
  }

  getCatalog(storeId: UpstreamId): StoreCatalog | undefined {
    return this.stores.find(storeId)?.catalog;
  }

  /** Removes what waits for export from an upstream that lost its cache. */
  removeUpstream(upstreamId: UpstreamId): void {
    this.queue.removeUpstream(upstreamId);
  }

  listCopies(key: BlockKey): readonly StoredCopy[] {
    return this.stores.listCopies(key);
  }

  estimateImportMs(storeId: UpstreamId, _upstreamId: UpstreamId, bytes: number): number {
    const store = this.stores.find(storeId);
    if (!store?.catalog.usable) return Number.POSITIVE_INFINITY;
    return store.link.estimateMs(bytes) + IMPORT_OVERHEAD_MS;
  }

  /** Notes that a prompt came: learns its gap and marks its stored blocks as used. */
  noteVisit(workloadId: WorkloadId, blocks: readonly PromptBlock[]): void {
    this.visits.noteVisit(workloadId, blocks);
    const nowMs = Date.now();
    blocks.forEach(({ key }) => this.stores.noteUsed(key, nowMs));
  }

  /** Notes that an upstream now holds a prompt's blocks, and queues those worth storing. */
  noteHeld(upstreamId: UpstreamId, workloadId: WorkloadId, blocks: readonly PromptBlock[]): void {
    const queuedAtMs = Date.now();
    blocks.forEach(({ key, tokens }, position) => {
      const previous = blocks[position - 1]?.key;
      const next = blocks[position + 1]?.key;
      if (next) this.stores.noteNext(key, next);
      if (this.stores.countCopies(key) >= Math.min(BLOCK_COPIES, this.stores.size)) return;
      const bytes = tokens * this.bytesPerToken;
      const place = { position, previous, next };
      this.queue.add({ key, upstreamId, workloadId, ...place, tokens, bytes, queuedAtMs });
    });
  }

  /** Takes the most valuable export that a link has room for now; undefined where there is none. */
  takeNextExport(): ExportOrder | undefined {
    const open = this.stores
      .rankByFill()
      .filter(([, { catalog, link }]) => catalog.usable && link.canExport(0));
    if (open.length === 0 || this.queue.size === 0) return undefined;
    for (const candidate of this.queue.rank((one) => this.weighCandidate(one))) {
      const order = this.planExport(candidate, open);
      if (order === 'not-worth') this.queue.delete(candidate.key);
      else if (order !== 'skip') return order;
    }
    return undefined;
  }

  /** Ends an export. */
  finishExport(order: ExportOrder, outcome: ExportOutcome): void {
    const { candidate, storeId, transfer } = order;
    this.exporting.delete(`${storeId}/${candidate.key}`);
    const store = this.stores.find(storeId);
    if (!store) return;
    store.link.finish(transfer, outcome.kind === 'stored');
    store.catalog.release(candidate.bytes);
    if (outcome.kind !== 'not-held') store.catalog.noteOutcome(outcome.kind === 'stored');
    if (outcome.kind !== 'stored') return;
    const { workloadId, position, tokens, next, queuedAtMs } = candidate;
    const { block } = outcome;
    this.bytesPerToken = block.length / tokens;
    store.catalog.add({ block, workloadId, position, tokens, next, lastUsedMs: queuedAtMs });
    if (this.stores.countCopies(candidate.key) < Math.min(BLOCK_COPIES, this.stores.size)) {
      this.queue.add(candidate);
    }
  }

  /** Starts an import over a store VM's link. */
  beginImport(storeId: UpstreamId, bytes: number): LinkTransfer | undefined {
    return this.stores.find(storeId)?.link.beginImport(bytes);
  }

  /** Ends an import; blocks that failed verification or are gone leave the catalog. */
  finishImport(
    storeId: UpstreamId,
    transfer: LinkTransfer,
    succeeded: boolean,
    faulty: readonly BlockKey[] = [],
  ): void {
    const store = this.stores.find(storeId);
    store?.link.finish(transfer, succeeded);
    store?.catalog.noteOutcome(succeeded);
    faulty.forEach((key) => store?.catalog.remove(key));
  }

  /** Lists the stored blocks with the best prospect of a return, for an upstream that warms up. */
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

  /** Gives counts for the state dump. */
  dump(): unknown {
    return {
      waitingExports: this.queue.size,
      runningExports: this.exporting.size,
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
    const idleMs = Date.now() - entry.lastUsedMs;
    const { returnsPerHour } = this.returns.estimateReturn(entry.workloadId, idleMs);
    return (returnsPerHour * entry.tokens) / entry.block.length;
  }

  private weighCandidate(candidate: ExportCandidate): number {
    const idleMs = Date.now() - candidate.queuedAtMs;
    const prospect = this.returns.estimateReturn(candidate.workloadId, idleMs);
    if (prospect.probability < MIN_EXPORT_RETURN) return 0;
    const factor = this.stores.countCopies(candidate.key) > 0 ? SECOND_COPY_VALUE : 1;
    return (prospect.returnsPerHour * candidate.tokens * factor) / candidate.bytes;
  }

  /** Plans one export; undefined where it has to wait for a link, `skip` where others go first. */
  private planExport(
    candidate: ExportCandidate,
    open: readonly (readonly [UpstreamId, KnownStore])[],
  ): ExportOrder | 'not-worth' | 'skip' | undefined {
    const value = this.weighCandidate(candidate);
    const wanted = open.filter(([storeId, { catalog }]) => {
      const flight = `${storeId}/${candidate.key}`;
      return !catalog.get(candidate.key) && !this.exporting.has(flight);
    });
    if (value === 0) return 'not-worth';
    if (wanted.length === 0) return 'skip';
    const home = this.findHome(candidate);
    const free = wanted.filter(
      ([storeId, { link }]) =>
        (home === undefined || home === storeId) && link.canExport(candidate.bytes),
    );
    if (free.length === 0 && home !== undefined) return 'skip';
    if (free.length === 0) return undefined;
    for (const [storeId, store] of free) {
      const drops = this.planDrops(store.catalog, candidate.bytes, value);
      if (drops) return this.beginExport(candidate, storeId, store, drops);
    }
    return 'not-worth';
  }

  /**
   * Finds the store VM that has to take a first copy: the one that holds the block before it, so
   * that the loss of a store VM breaks few prompts wholly and not every prompt in the middle.
   */
  private findHome({ key, previous }: ExportCandidate): UpstreamId | undefined {
    if (previous === undefined || this.stores.countCopies(key) > 0) return undefined;
    const holders = this.stores
      .list()
      .filter(
        ([storeId, { catalog }]) =>
          catalog.usable && (catalog.get(previous) ?? this.exporting.has(`${storeId}/${previous}`)),
      );
    return holders.length === 1 ? holders[0]![0] : undefined;
  }

  private beginExport(
    candidate: ExportCandidate,
    storeId: UpstreamId,
    { catalog, link }: KnownStore,
    drops: readonly StoredBlock[],
  ): ExportOrder | undefined {
    const transfer = link.tryBeginExport(candidate.bytes);
    if (!transfer) return undefined;
    drops.forEach(({ key }) => catalog.remove(key));
    catalog.reserve(candidate.bytes);
    this.exporting.add(`${storeId}/${candidate.key}`);
    this.queue.delete(candidate.key);
    return { candidate, storeId, drops, transfer };
  }

  /** Plans what makes room for a block; undefined where all that is stored is worth more. */
  private planDrops(
    catalog: StoreCatalog,
    bytes: number,
    value: number,
  ): StoredBlock[] | undefined {
    if (catalog.hasRoom(bytes)) return [];
    const least = catalog.findLeastValuable(this.options.random, (entry) => {
      const factor = this.stores.countCopies(entry.block.key) > 1 ? SECOND_COPY_VALUE : 1;
      return this.computeValue(entry) * factor;
    });
    if (!least || least.value >= value) return undefined;
    // A prompt is dropped from its end, so that what is left of it stays usable; a block with
    // another copy is dropped where it is.
    const isOnly = this.stores.countCopies(least.entry.block.key) < 2;
    const { block } = isOnly ? catalog.findTail(least.entry) : least.entry;
    return block.length < bytes ? undefined : [block];
  }
}
