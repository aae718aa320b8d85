import type { BlockKey, UpstreamId } from '../ids.js';
import type { StoredCopy } from '../routing/importPlan.js';
import { LinkBudget } from './linkBudget.js';
import { StoreCatalog } from './storeCatalog.js';
import type { StoreView } from './storeCatalog.js';

/** A store VM: what it holds, and what its link bears. */
export interface KnownStore {
  readonly catalog: StoreCatalog;
  readonly link: LinkBudget;
}

/** The store VMs that are known, and where copies of a block are. */
export class StoreSet {
  private readonly stores = new Map<UpstreamId, KnownStore>();

  get size(): number {
    return this.stores.size;
  }

  /** Takes in the newest view of a store VM. */
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

  find(storeId: UpstreamId): KnownStore | undefined {
    return this.stores.get(storeId);
  }

  list(): readonly (readonly [UpstreamId, KnownStore])[] {
    return [...this.stores];
  }

  /** Lists the store VMs, the emptiest first. */
  rankByFill(): readonly (readonly [UpstreamId, KnownStore])[] {
    const getFill = ({ catalog }: KnownStore): number =>
      catalog.usedBytes / catalog.view.capacityBytes;
    return [...this.stores].sort(([, left], [, right]) => getFill(left) - getFill(right));
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

  /** Marks the stored copies of a block as used. */
  noteUsed(key: BlockKey, nowMs: number): void {
    for (const { catalog } of this.stores.values()) {
      const entry = catalog.get(key);
      if (entry) entry.lastUsedMs = nowMs;
    }
  }

  /** Notes which block follows another one, with its stored copies. */
  noteNext(key: BlockKey, next: BlockKey): void {
    for (const { catalog } of this.stores.values()) {
      const entry = catalog.get(key);
      if (entry) entry.next = next;
    }
  }
}
