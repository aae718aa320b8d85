/** Topics of the platform's log that the gateway uses. */
export type LogTopic = 'operators' | 'upstreams' | 'entries' | 'leases' | 'streams';

/** A keyed log record. */
export interface KeyedRecord {
  readonly key: string;
  /** Undefined for a tombstone, which deletes the key. */
  readonly value: Buffer | undefined;
}

/**
 * Counts how often the log came back from an older copy of itself. What was appended after that copy
 * is lost, and offsets are given out again, so an offset means nothing in another era.
 */
export type LogEra = number;

/** Era of a log that does not report one. */
export const FIRST_LOG_ERA: LogEra = 1;

/** The newest record of each key of a topic. */
export interface LogSnapshot {
  readonly era: LogEra;
  readonly records: readonly KeyedRecord[];
  /** End offset of the topic when the first page was read. */
  readonly endOffset: number;
}

/** Consecutive records of a topic. */
export interface LogBatch {
  readonly era: LogEra;
  readonly records: readonly KeyedRecord[];
  /** Offset after the last record of the batch. */
  readonly nextOffset: number;
  /** End offset of the topic when the batch was read. */
  readonly endOffset: number;
}

/** A record that was appended at the expected end. */
export interface AppendedRecord {
  readonly era: LogEra;
  readonly offset: number;
}

/** Options of a read. */
export interface LogReadOptions {
  /** Long-poll timeout; 0 if the read should return at once. */
  readonly longPollMs: number;
  readonly signal: AbortSignal;
}

/** Client of the platform's append-only log. Each call throws if no valid response arrives in time. */
export abstract class SharedLog {
  abstract readSnapshot(topic: LogTopic, signal: AbortSignal): Promise<LogSnapshot>;

  /** @throws LogTrimmedError if the records at that offset have been trimmed */
  abstract read(topic: LogTopic, from: number, options: LogReadOptions): Promise<LogBatch>;

  /** Appends records atomically; after an error they may still be appended. */
  abstract append(
    topic: LogTopic,
    records: readonly KeyedRecord[],
    signal: AbortSignal,
  ): Promise<void>;

  /** @returns undefined if the topic's end offset is a different one */
  abstract appendAt(
    topic: LogTopic,
    end: number,
    record: KeyedRecord,
    signal: AbortSignal,
  ): Promise<AppendedRecord | undefined>;

  abstract close(): void;
}
