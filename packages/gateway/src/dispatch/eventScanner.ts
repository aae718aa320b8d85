const LINE_FEED = 0x0a;

const CARRIAGE_RETURN = 0x0d;

/** Finds where the events of a server-sent event stream end; its lines end with LF or CRLF. */
export class EventScanner {
  private lineBytes = 0;

  private lastByte = 0;

  private bytesSinceEvent = 0;

  /** Number of complete events. */
  eventCount = 0;

  /** Number of bytes after the last complete event. */
  get partialEventBytes(): number {
    return this.bytesSinceEvent;
  }

  /** @returns the offsets in the chunk right after each event that ends in it */
  scan(chunk: Buffer): readonly number[] {
    const eventEnds: number[] = [];
    let lineStart = 0;
    for (
      let lineEnd = chunk.indexOf(LINE_FEED);
      lineEnd >= 0;
      lineEnd = chunk.indexOf(LINE_FEED, lineStart)
    ) {
      const lineBytes = this.lineBytes + lineEnd - lineStart;
      const previousByte = lineEnd > lineStart ? chunk[lineEnd - 1] : this.lastByte;
      lineStart = lineEnd + 1;
      this.lineBytes = 0;
      if (lineBytes === 0 || (lineBytes === 1 && previousByte === CARRIAGE_RETURN)) {
        eventEnds.push(lineStart);
      }
    }
    this.lineBytes += chunk.length - lineStart;
    this.lastByte = chunk.at(-1) ?? this.lastByte;
    this.eventCount += eventEnds.length;
    const lastEnd = eventEnds.at(-1);
    this.bytesSinceEvent =
      lastEnd === undefined ? this.bytesSinceEvent + chunk.length : chunk.length - lastEnd;
    return eventEnds;
  }
}
