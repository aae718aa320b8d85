/** The newest record of a lease stream and the stream's end. */
export interface LeaseStreamTail {
  /** Undefined if the lease was never held. */
  readonly holder: string | undefined;
  /** Offset after the last record of the stream. */
  readonly endOffset: number;
  /** Rises when the stream comes back from an older copy, which may lack the newest records. */
  readonly era: number;
}

/** Position of an appended record. */
export interface LeaseStreamPosition {
  readonly era: number;
  readonly offset: number;
}

/** Era of a stream that has never come back from a copy. */
export const FIRST_STREAM_ERA = 1;

/** A log stream with conditional appends, which succeed only at the expected end offset. */
export abstract class LeaseStream {
  abstract read(signal: AbortSignal): Promise<LeaseStreamTail>;

  /** @returns undefined if the stream's end has changed */
  abstract appendAt(
    expectedEndOffset: number,
    holder: string,
    signal: AbortSignal,
  ): Promise<LeaseStreamPosition | undefined>;
}
