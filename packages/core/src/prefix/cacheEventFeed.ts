import type { BlockKey, BootId, UpstreamId } from '../ids.js';
import { MAX_EARLIER_BOOTS } from './constants.js';
import type { PrefixIndex } from './prefixIndex.js';

/** Change of an engine's prefix cache. */
export interface CacheEvent {
  readonly seq: number;
  readonly type: 'stored' | 'evicted' | 'cleared';
  readonly keys: readonly BlockKey[];
}

/** Batch of events from one boot of an engine, as returned by one poll. */
export interface CacheEventPage {
  readonly bootId: BootId;
  readonly events: readonly CacheEvent[];
}

/** Result of applying a page of events. */
export type CacheEventResult =
  | { readonly kind: 'applied'; readonly nextSeq: number }
  /** Events are missing; poll again from `nextSeq`. */
  | { readonly kind: 'gap'; readonly nextSeq: number }
  /** The page belongs to an earlier boot and was discarded. */
  | { readonly kind: 'outdated'; readonly nextSeq: number };

interface EventCursor {
  bootId: BootId;
  nextSeq: number;
  /** Sequence number of the gap for which a retry was already requested. */
  retriedSeq: number | undefined;
  readonly earlierBoots: BootId[];
}

/**
 * Applies the cache events of engines to an index. Pages may be delayed, duplicated, reordered or
 * incomplete. A gap is retried once; if it remains, the later events are applied and the accuracy
 * of the upstream's entries is lowered.
 */
export class CacheEventFeed {
  private readonly cursors = new Map<UpstreamId, EventCursor>();

  constructor(private readonly index: PrefixIndex) {}

  /** Returns the sequence number from which to poll an upstream's events. */
  getNextSeq(upstreamId: UpstreamId): number {
    return this.cursors.get(upstreamId)?.nextSeq ?? 0;
  }

  /** Sets the boot that an upstream reports; a new boot clears its entries. */
  updateBoot(upstreamId: UpstreamId, bootId: BootId): void {
    const cursor = this.cursors.get(upstreamId);
    if (cursor?.bootId === bootId || cursor?.earlierBoots.includes(bootId)) return;
    if (cursor) this.index.clearHolder(upstreamId);
    const earlierBoots = cursor
      ? [cursor.bootId, ...cursor.earlierBoots].slice(0, MAX_EARLIER_BOOTS)
      : [];
    this.cursors.set(upstreamId, { bootId, nextSeq: 0, retriedSeq: undefined, earlierBoots });
  }

  /** Removes an upstream and its entries. */
  removeUpstream(upstreamId: UpstreamId): void {
    this.cursors.delete(upstreamId);
    this.index.clearHolder(upstreamId);
  }

  /** Applies one page of events to the index. */
  applyPage(upstreamId: UpstreamId, page: CacheEventPage): CacheEventResult {
    this.updateBoot(upstreamId, page.bootId);
    const cursor = this.cursors.get(upstreamId)!;
    if (cursor.bootId !== page.bootId) return { kind: 'outdated', nextSeq: cursor.nextSeq };
    const events = [...page.events].sort((left, right) => left.seq - right.seq);
    for (const event of events) {
      if (event.seq > cursor.nextSeq && !this.shouldSkipGap(upstreamId)) {
        return { kind: 'gap', nextSeq: cursor.nextSeq };
      }
      if (event.seq >= cursor.nextSeq) {
        this.applyEvent(upstreamId, event);
        cursor.nextSeq = event.seq + 1;
      }
    }
    return { kind: 'applied', nextSeq: cursor.nextSeq };
  }

  private shouldSkipGap(upstreamId: UpstreamId): boolean {
    const cursor = this.cursors.get(upstreamId)!;
    if (cursor.retriedSeq !== cursor.nextSeq) {
      cursor.retriedSeq = cursor.nextSeq;
      return false;
    }
    this.index.recordGap(upstreamId);
    return true;
  }

  private applyEvent(upstreamId: UpstreamId, event: CacheEvent): void {
    if (event.type === 'stored') this.index.addBlocks(upstreamId, event.keys);
    else if (event.type === 'evicted') this.index.removeBlocks(upstreamId, event.keys);
    else this.index.clearHolder(upstreamId);
  }
}
