/** The newest record of a lease stream and the stream's end. */
export interface LeaseStreamTail {
  /** Undefined if the lease was never held. */
  readonly holder: string | undefined;
  /** Offset after the last record of the stream. */
  readonly endOffset: number;
}

/** A log stream with conditional appends, which succeed only at the expected end offset. */
export abstract class LeaseStream {
  abstract read(signal: AbortSignal): Promise<LeaseStreamTail>;

  /** @returns the offset of the record; undefined if the stream's end has changed */
  abstract appendAt(
    expectedEndOffset: number,
    holder: string,
    signal: AbortSignal,
  ): Promise<number | undefined>;
}
