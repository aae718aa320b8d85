import type { BlockKey, UpstreamId } from '../ids.js';
import type { StoredCopy } from '../routing/importPlan.js';
import { LinkBudget } from './linkBudget.js';
import { StoreCatalog } from './storeCatalog.js';
import type { StoreView } from './storeCatalog.js';

/** Catalog and link of a store VM. */
export interface StoreState {
  readonly catalog: StoreCatalog;
  readonly link: LinkBudget;
}

/** Known store VMs, and lookup of the copies of a block. */
export class StoreSet {
  private readonly stores = new Map<UpstreamId, StoreState>();

  get size(): number {
    return this.stores.size;
  }

  /** Adds a store VM or updates its view. */
  update(view: StoreView): void {
    const known = this.stores.get(view.storeId);
    if (known) {
      known.catalog.view = view;
      known.link.applyReport(view.linkBytesPerSecond, view.activeTransfers);
      return;
    }
    const link = new LinkBudget(view.linkBytesPerSecond);
    this.stores.set(view.storeId, { catalog: new StoreCatalog(view), link });
  }

  remove(storeId: UpstreamId): void {
    this.stores.delete(storeId);
  }

  find(storeId: UpstreamId): StoreState | undefined {
    return this.stores.get(storeId);
  }

  list(): readonly (readonly [UpstreamId, StoreState])[] {
    return [...this.stores];
  }

  /** Lists the store VMs by fill ratio, in ascending order. */
  listByFillRatio(): readonly (readonly [UpstreamId, StoreState])[] {
    const computeFillRatio = ({ catalog }: StoreState): number =>
      catalog.usedBytes / catalog.view.capacityBytes;
    return [...this.stores].sort(
      ([, left], [, right]) => computeFillRatio(left) - computeFillRatio(right),
    );
  }

  listCopies(key: BlockKey): readonly StoredCopy[] {
    const copies: StoredCopy[] = [];
    for (const { catalog } of this.stores.values()) {
      const block = catalog.usable ? catalog.get(key)?.block : undefined;
      if (block) copies.push({ storeId: block.storeId, name: block.name, bytes: block.length });
    }
    return copies;
  }

  countCopies(key: BlockKey): number {
    let copies = 0;
    for (const { catalog } of this.stores.values()) {
      if (catalog.usable && catalog.get(key)) copies += 1;
    }
    return copies;
  }

  /** Sets the time of last use of a block's stored copies. */
  markUsed(key: BlockKey, nowMs: number): void {
    for (const { catalog } of this.stores.values()) {
      const entry = catalog.get(key);
      if (entry) entry.lastUsedAtMs = nowMs;
    }
  }

  /** Sets the following block of a block's stored copies. */
  setNext(key: BlockKey, next: BlockKey): void {
    for (const { catalog } of this.stores.values()) {
      const entry = catalog.get(key);
      if (entry) entry.next = next;
    }
  }
}
