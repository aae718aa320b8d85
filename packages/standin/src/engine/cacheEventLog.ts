import type { EngineFaults } from './engineFaults.js';
import type { BlockCacheListener } from './blockCache.js';

const MAX_EVENTS = 20_000;

type CacheEventType = 'stored' | 'evicted' | 'cleared';

interface CacheEvent {
  readonly seq: number;
  readonly type: CacheEventType;
  readonly keys: readonly string[];
}

/** Publishes cache events, with the delay, loss and duplication that the faults configure. */
export class CacheEventLog implements BlockCacheListener {
  private events: { readonly event: CacheEvent; readonly visibleAtMs: number }[] = [];

  private nextSeq = 0;

  constructor(
    private readonly getFaults: () => Readonly<EngineFaults>,
    /** Draws a seeded random number from 0 (inclusive) to 1 (exclusive). */
    private readonly drawRandom: () => number,
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

  /** Clears the log and restarts its sequence numbers, as after an engine restart. */
  reset(): void {
    this.events = [];
    this.nextSeq = 0;
  }

  /** Lists the visible events, starting at a sequence number. */
  listVisible(fromSeq: number): {
    readonly events: readonly CacheEvent[];
    readonly nextSeq: number;
  } {
    const nowMs = Date.now();
    const { duplicateEvents } = this.getFaults();
    const visible = this.events.filter((entry) => entry.visibleAtMs <= nowMs);
    const firstHidden = this.events.find((entry) => entry.visibleAtMs > nowMs);
    const events = visible
      .filter((entry) => entry.event.seq >= fromSeq)
      .flatMap(({ event }) => (this.drawRandom() < duplicateEvents ? [event, event] : [event]));
    return { events, nextSeq: firstHidden?.event.seq ?? this.nextSeq };
  }

  private append(type: CacheEventType, keys: readonly string[]): void {
    const { eventLagMs, dropEvents } = this.getFaults();
    const event = { seq: this.nextSeq, type, keys };
    this.nextSeq += 1;
    if (this.drawRandom() < dropEvents) return;
    this.events.push({ event, visibleAtMs: Date.now() + eventLagMs });
    if (this.events.length > MAX_EVENTS) this.events = this.events.slice(MAX_EVENTS / 2);
  }
}
