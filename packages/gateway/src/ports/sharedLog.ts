/** Streams of the platform's log that the gateway reads or writes. */
export type LogTopic = 'operators' | 'upstreams' | 'entries' | 'leases';

/** One record of a stream whose records have keys. */
export interface KeyedRecord {
  readonly key: string;
  /** Undefined where the key is dropped. */
  readonly value: Buffer | undefined;
}

/** The newest record of each key. */
export interface LogSnapshot {
  readonly records: readonly KeyedRecord[];
  /** Position after the last record of the stream when the first page was read. */
  readonly end: number;
}

/** Records from a position on. */
export interface LogBatch {
  readonly records: readonly KeyedRecord[];
  /** Position after the last record of the batch. */
  readonly next: number;
}

/** How long a read may take. */
export interface ReadOptions {
  /** Time for which the log waits for a record, in milliseconds; 0 answers at once. */
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

/** The platform's append-only log. Each call throws where the log gives no proper answer in time. */
export abstract class SharedLog {
  abstract readNewest(topic: LogTopic, signal: AbortSignal): Promise<LogSnapshot>;

  /** @throws LogTrimmedError where the records at that position are gone */
  abstract read(topic: LogTopic, from: number, options: ReadOptions): Promise<LogBatch>;

  /** Appends records, all or none; after an error they may still be appended. */
  abstract append(
    topic: LogTopic,
    records: readonly KeyedRecord[],
    signal: AbortSignal,
  ): Promise<void>;

  /** @returns the record's offset; undefined where the stream does not end at that position */
  abstract appendAt(
    topic: LogTopic,
    end: number,
    record: KeyedRecord,
    signal: AbortSignal,
  ): Promise<number | undefined>;

  abstract close(): void;
}
