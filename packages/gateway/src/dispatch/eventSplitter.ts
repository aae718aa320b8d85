const ID_LINE = /^id: ?(\d+)\s*$/m;

/** Selects the complete events of a server-sent event stream that have not been emitted before. */
export class EventSplitter {
  /** Parts of the event that is not complete yet. */
  private pending: Buffer[] = [];

  /** Id of the last emitted event; undefined before the first one. */
  lastEventId: number | undefined;

  /** Whether the discarded part of an event shows that an event is still to come. */
  isEventMissing = false;

  /** Discards the incomplete event of a broken stream before the resumed stream begins. */
  reset(): void {
    this.isEventMissing ||= this.pending.length > 0;
    this.pending = [];
  }

  /**
   * @param eventEnds offsets in the chunk right after each event that ends in it
   * @returns the complete events that have not been emitted before, concatenated
   */
  push(chunk: Buffer, eventEnds: readonly number[]): Buffer {
    const events: Buffer[] = [];
    let start = 0;
    eventEnds.forEach((end) => {
      const event = Buffer.concat([...this.pending, chunk.subarray(start, end)]);
      this.pending = [];
      start = end;
      if (!this.recordEventId(event)) return;
      this.isEventMissing = false;
      events.push(event);
    });
    if (start < chunk.length) this.pending.push(chunk.subarray(start));
    return events.length === 1 ? events[0]! : Buffer.concat(events);
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
