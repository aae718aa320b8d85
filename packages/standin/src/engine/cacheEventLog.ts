import type { EngineFaults } from './engineFaults.js';
import type { BlockCacheListener } from './blockCache.js';

const MAX_EVENTS = 20_000;

type CacheEventType = 'stored' | 'evicted' | 'cleared';

interface CacheEvent {
  readonly seq: number;
  readonly type: CacheEventType;
  readonly keys: readonly string[];
}

/** Publishes cache events late, with gaps and duplicates as the faults say. */
export class CacheEventLog implements BlockCacheListener {
  private events: { readonly event: CacheEvent; readonly visibleAtMs: number }[] = [];

  private nextSeq = 0;

  constructor(
    private readonly getFaults: () => Readonly<EngineFaults>,
    /** Seeded random number from 0 up to 1. */
    private readonly random: () => number,
  ) {}

  handleStored(keys: readonly string[]): void {
    this.append('stored', keys);
  }

  handleEvicted(keys: readonly string[]): void {
    this.append('evicted', keys);
  }

  handleCleared(): void {
    this.append('cleared', []);
  }

  /** Begins anew, as after a restart. */
  reset(): void {
    this.events = [];
    this.nextSeq = 0;
  }

  /** Lists the events that are visible by now, from a sequence number on. */
  list(from: number): { readonly events: readonly CacheEvent[]; readonly nextSeq: number } {
    const now = Date.now();
    const { duplicateEvents } = this.getFaults();
    const visible = this.events.filter((item) => item.visibleAtMs <= now);
    const late = this.events.find((item) => item.visibleAtMs > now);
    const events = visible
      .filter((item) => item.event.seq >= from)
      .flatMap(({ event }) => (this.random() < duplicateEvents ? [event, event] : [event]));
    return { events, nextSeq: late?.event.seq ?? this.nextSeq };
  }

  private append(type: CacheEventType, keys: readonly string[]): void {
    const { eventLagMs, dropEvents } = this.getFaults();
    const event = { seq: this.nextSeq, type, keys };
    this.nextSeq += 1;
    if (this.random() < dropEvents) return;
    this.events.push({ event, visibleAtMs: Date.now() + eventLagMs });
    if (this.events.length > MAX_EVENTS) this.events = this.events.slice(MAX_EVENTS / 2);
  }
}
