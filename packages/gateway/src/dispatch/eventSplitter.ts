import { BodyBuffer } from '@goldcrestscale/runtime';
import type { ByteReservation } from '@goldcrestscale/runtime';

const ID_LINE = /^id: ?(\d+)\s*$/m;

/** What a chunk of a stream brought. */
export interface SplitEvents {
  /** The complete events that have not been emitted before, concatenated. */
  readonly events: Buffer;
  /** Whether there was memory for the event that is not complete. */
  readonly hasRoom: boolean;
  /** Memory for all that has come of that event. */
  readonly neededBytes: number;
}

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

  /** Discards the incomplete event of a broken stream, and gives back its memory. */
  reset(): void {
    this.isEventMissing ||= this.pending.length > 0;
    this.takePending();
  }

  /** @param eventEnds offsets in the chunk right after each event that ends in it */
  push(chunk: Buffer, eventEnds: readonly number[]): SplitEvents {
    const events: Buffer[] = [];
    let start = 0;
    eventEnds.forEach((end) => {
      const event = this.completeEvent(chunk.subarray(start, end));
      start = end;
      if (!this.recordEventId(event)) return;
      this.isEventMissing = false;
      events.push(event);
    });
    const part = chunk.subarray(start);
    const growthBytes = part.length === 0 ? 0 : this.pending.computeGrowth(part.length);
    const neededBytes = this.reservedBytes + growthBytes;
    const hasRoom = part.length === 0 || this.tryAddPending(part, growthBytes);
    const joined = events.length === 1 ? events[0]! : Buffer.concat(events);
    return { events: joined, hasRoom, neededBytes };
  }

  private completeEvent(end: Buffer): Buffer {
    return this.pending.length === 0 ? end : Buffer.concat([...this.takePending(), end]);
  }

  private tryAddPending(part: Buffer, growthBytes: number): boolean {
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
