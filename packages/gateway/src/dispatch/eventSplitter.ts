const EVENT_END = Buffer.from('\n\n');

const ID_LINE = /^id: ?(\d+)\s*$/m;

/** Splits a server-sent event stream into complete events and drops those that were already emitted. */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** Id of the last emitted event; undefined before the first one. */
  lastEventId: number | undefined;

  /** Discards the incomplete event of a broken stream before the resumed stream begins. */
  reset(): void {
    this.pending = Buffer.alloc(0);
  }

  /** @returns the complete events that have not been emitted before, concatenated */
  push(chunk: Buffer): Buffer {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const events: Buffer[] = [];
    for (
      let end = this.pending.indexOf(EVENT_END);
      end >= 0;
      end = this.pending.indexOf(EVENT_END)
    ) {
      const event = this.pending.subarray(0, end + EVENT_END.length);
      this.pending = this.pending.subarray(end + EVENT_END.length);
      if (this.recordEventId(event)) events.push(event);
    }
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
