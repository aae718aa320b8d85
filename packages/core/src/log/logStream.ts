import type { LogOffset } from '../ids.js';

/** A record of a stream. */
export interface LogRecord {
  readonly offset: LogOffset;
  /** Time at which the log accepted the record, by the log's clock, in milliseconds. */
  readonly timeMs: number;
  /** JSON value that was appended. */
  readonly value: unknown;
}

/** A page of records, read from a given offset. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** Offset of the next record to be appended. */
  readonly headOffset: LogOffset;
  /** Oldest retained offset. */
  readonly firstOffset: LogOffset;
}

/** Options of a read. */
export interface LogReadOptions {
  /** Maximum number of records to return. @default 1000 */
  readonly limit?: number;
  /** Long-poll duration if there are no records, in milliseconds. @default 0 */
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

/** A stream of the platform's append-only log. */
export abstract class LogStream {
  /**
   * Appends records in order, as one batch.
   *
   * @returns the offset of the first record
   * @throws LogError `refused` if nothing was appended, `unknown` if it may have been
   */
  abstract append(values: readonly unknown[], signal?: AbortSignal): Promise<LogOffset>;

  /**
   * Reads records, starting at an offset.
   *
   * @throws LogError `trimmed` if the offset is no longer retained
   */
  abstract read(from: LogOffset, options?: LogReadOptions): Promise<LogPage>;
}
