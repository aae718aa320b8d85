import type { LogOffset } from '../ids.js';

/** One record of a stream. */
export interface LogRecord {
  readonly offset: LogOffset;
  /** Time at which the log took the record, by the log's clock, in milliseconds. */
  readonly timeMs: number;
  /** JSON value as it was appended. */
  readonly value: unknown;
}

/** Part of a stream, read from one offset on. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** Offset that the next appended record will have. */
  readonly headOffset: LogOffset;
  /** Oldest offset that is still kept. */
  readonly firstOffset: LogOffset;
}

/** Options of a read. */
export interface LogReadOptions {
  /** Most records to return. @default 1000 */
  readonly limit?: number;
  /** Time to wait for a record when there is none, in milliseconds. @default 0 */
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

/** One stream of the platform's append-only log. */
export abstract class LogStream {
  /**
   * Appends records in order, as one group.
   *
   * @returns the offset of the first one
   * @throws LogError `refused` when nothing was appended, `unknown` when it may have been
   */
  abstract append(values: readonly unknown[], signal?: AbortSignal): Promise<LogOffset>;

  /**
   * Reads records from an offset on.
   *
   * @throws LogError `trimmed` when the offset is no longer kept
   */
  abstract read(from: LogOffset, options?: LogReadOptions): Promise<LogPage>;
}
