import { BodyBuffer } from '@goldcrestscale/runtime';
import type { ByteReservation } from '@goldcrestscale/runtime';

const ID_LINE = /^id: ?(\d+)\s*$/m;

/** Selects the complete events of a server-sent event stream that have not been emitted before. */
export class EventSplitter {
  /** The event that is not complete yet. */
  private readonly pending = new BodyBuffer();

  private reservedBytes = 0;

  /** Id of the last emitted event; undefined before the first one. */
  lastEventId: number | undefined;

  /** Whether the discarded part of an event shows that an event is still to come. */
  isEventMissing = false;

  /** @param reservation holds the memory of the event that is not complete */
  constructor(private readonly reservation: ByteReservation) {}

  /** Discards the incomplete event of a broken stream before the resumed stream begins. */
  reset(): void {
    this.isEventMissing ||= this.pending.length > 0;
    this.takePending();
  }

  /**
   * @param eventEnds offsets in the chunk right after each event that ends in it
   * @returns the complete events that have not been emitted before, concatenated; undefined if there is
   *   no memory for the one that is not complete
   */
  tryPush(chunk: Buffer, eventEnds: readonly number[]): Buffer | undefined {
    const events: Buffer[] = [];
    let start = 0;
    eventEnds.forEach((end) => {
      const event = this.completeEvent(chunk.subarray(start, end));
      start = end;
      if (!this.recordEventId(event)) return;
      this.isEventMissing = false;
      events.push(event);
    });
    if (start < chunk.length && !this.tryAddPending(chunk.subarray(start))) return undefined;
    return events.length === 1 ? events[0]! : Buffer.concat(events);
  }

  private completeEvent(end: Buffer): Buffer {
    return this.pending.length === 0 ? end : Buffer.concat([...this.takePending(), end]);
  }

  private tryAddPending(part: Buffer): boolean {
    const growthBytes = this.pending.computeGrowth(part.length);
    if (!this.reservation.tryGrow(growthBytes, 'event')) return false;
    this.reservedBytes += growthBytes;
    this.pending.add(part);
    return true;
  }

  private takePending(): Buffer[] {
    this.reservation.releasePart(this.reservedBytes, 'event');
    this.reservedBytes = 0;
    return this.pending.take();
  }

  /** @returns whether the event has not been emitted before */
  private recordEventId(event: Buffer): boolean {
    const match = ID_LINE.exec(event.toString('latin1'));
    if (!match) return true;
    const id = Number(match[1]);
    if (this.lastEventId !== undefined && id <= this.lastEventId) return false;
    this.lastEventId = id;
    return true;
  }
}
