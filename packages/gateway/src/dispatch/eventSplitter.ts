const EVENT_END = Buffer.from('\n\n');

const ID_LINE = /^id: ?(\d+)\s*$/m;

/** Splits a stream into whole events, and drops those that the caller has already. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Id of the last event given out; undefined before the first. */
  lastId: number | undefined;

  /** Begins a stream that goes on where the last one broke. */
  restart(): void {
    this.rest = Buffer.alloc(0);
  }

  /** @returns the whole events that have come in and are new, as one piece */
  push(chunk: Buffer): Buffer {
    this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const events: Buffer[] = [];
    for (let end = this.rest.indexOf(EVENT_END); end >= 0; end = this.rest.indexOf(EVENT_END)) {
      const event = this.rest.subarray(0, end + EVENT_END.length);
      this.rest = this.rest.subarray(end + EVENT_END.length);
      if (this.takeId(event)) events.push(event);
    }
    return events.length === 1 ? events[0]! : Buffer.concat(events);
  }

  /** @returns whether the event is new */
  private takeId(event: Buffer): boolean {
    const match = ID_LINE.exec(event.toString('latin1'));
    if (!match) return true;
    const id = Number(match[1]);
    if (this.lastId !== undefined && id <= this.lastId) return false;
    this.lastId = id;
    return true;
  }
}
