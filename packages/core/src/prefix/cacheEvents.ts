import type { BlockKey, BootId, UpstreamId } from '../ids.js';
import { REMEMBERED_BOOTS } from './constants.js';
import type { PrefixIndex } from './prefixIndex.js';

/** One change of an engine's cache. */
export interface CacheEvent {
  readonly seq: number;
  readonly type: 'stored' | 'evicted' | 'cleared';
  readonly keys: readonly BlockKey[];
}

/** Events of one boot of an engine, as one answer brings them. */
export interface CacheEventPage {
  readonly bootId: BootId;
  readonly events: readonly CacheEvent[];
}

/** What became of a page of events. */
export type CacheEventResult =
  | { readonly kind: 'applied'; readonly nextSeq: number }
  /** Events are missing: ask again from `nextSeq`. */
  | { readonly kind: 'gap'; readonly nextSeq: number }
  /** The page is of an earlier boot and was discarded. */
  | { readonly kind: 'outdated'; readonly nextSeq: number };

interface EventCursor {
  bootId: BootId;
  nextSeq: number;
  /** Sequence number that was asked for again already. */
  askedAgainFor: number | undefined;
  readonly earlierBoots: BootId[];
}

/**
 * Feeds an index with the cache events of engines. Pages may come late, twice, crossed and with
 * gaps. A gap is asked for once more; when it stays, the rest is applied with less trust.
 */
export class CacheEventFeed {
  private readonly cursors = new Map<UpstreamId, EventCursor>();

  constructor(private readonly index: PrefixIndex) {}

  /** Gives the sequence number to ask an upstream's events from. */
  getNextSeq(upstreamId: UpstreamId): number {
    return this.cursors.get(upstreamId)?.nextSeq ?? 0;
  }

  /** Notes the run that an upstream reports; a new one empties its entries. */
  noteBoot(upstreamId: UpstreamId, bootId: BootId): void {
    const cursor = this.cursors.get(upstreamId);
    if (cursor?.bootId === bootId || cursor?.earlierBoots.includes(bootId)) return;
    if (cursor) this.index.clearHolder(upstreamId);
    const earlierBoots = cursor
      ? [cursor.bootId, ...cursor.earlierBoots].slice(0, REMEMBERED_BOOTS)
      : [];
    this.cursors.set(upstreamId, { bootId, nextSeq: 0, askedAgainFor: undefined, earlierBoots });
  }

  /** Removes an upstream that is gone. */
  removeUpstream(upstreamId: UpstreamId): void {
    this.cursors.delete(upstreamId);
    this.index.clearHolder(upstreamId);
  }

  /** Applies one page of events to the index. */
  applyPage(upstreamId: UpstreamId, page: CacheEventPage): CacheEventResult {
    this.noteBoot(upstreamId, page.bootId);
    const cursor = this.cursors.get(upstreamId)!;
    if (cursor.bootId !== page.bootId) return { kind: 'outdated', nextSeq: cursor.nextSeq };
    const events = [...page.events].sort((left, right) => left.seq - right.seq);
    for (const event of events) {
      if (event.seq > cursor.nextSeq && !this.acceptGap(upstreamId)) {
        return { kind: 'gap', nextSeq: cursor.nextSeq };
      }
      if (event.seq >= cursor.nextSeq) {
        this.applyEvent(upstreamId, event);
        cursor.nextSeq = event.seq + 1;
      }
    }
    return { kind: 'applied', nextSeq: cursor.nextSeq };
  }

  private acceptGap(upstreamId: UpstreamId): boolean {
    const cursor = this.cursors.get(upstreamId)!;
    if (cursor.askedAgainFor !== cursor.nextSeq) {
      cursor.askedAgainFor = cursor.nextSeq;
      return false;
    }
    this.index.noteGap(upstreamId);
    return true;
  }

  private applyEvent(upstreamId: UpstreamId, event: CacheEvent): void {
    if (event.type === 'stored') this.index.addBlocks(upstreamId, event.keys);
    else if (event.type === 'evicted') this.index.removeBlocks(upstreamId, event.keys);
    else this.index.clearHolder(upstreamId);
  }
}
