/** The newest record of a lease and where its stream ends. */
export interface LeaseReading {
  /** Undefined where nobody has held the lease. */
  readonly holder: string | undefined;
  /** Position after the last record of the stream. */
  readonly end: number;
}

/** A stream of the log that accepts a record only where it still ends at a given position. */
export abstract class LeaseStream {
  abstract read(signal: AbortSignal): Promise<LeaseReading>;

  /** @returns the offset of the record; undefined where the stream ended elsewhere */
  abstract appendAt(end: number, holder: string, signal: AbortSignal): Promise<number | undefined>;
}
