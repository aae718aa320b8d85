import { toLogOffset } from '../ids.js';
import type { LogOffset } from '../ids.js';
import { LogError } from './logError.js';
import { LogStream } from './logStream.js';
import type { LogPage, LogReadOptions, LogRecord } from './logStream.js';

const DEFAULT_READ_LIMIT = 1000;

/** In-memory stream: storage of the stand-in platform's log and fake log for unit tests. */
export class MemoryLog extends LogStream {
  private records: LogRecord[] = [];

  private oldestOffset = 0;

  private readonly pendingReads = new Set<() => void>();

  /** Offset of the next record to be appended. */
  get headOffset(): LogOffset {
    return toLogOffset(this.oldestOffset + this.records.length);
  }

  override append(values: readonly unknown[]): Promise<LogOffset> {
    const firstOffset = this.headOffset;
    const timeMs = Date.now();
    values.forEach((value, index) => {
      const copy: unknown = JSON.parse(JSON.stringify(value));
      this.records.push({ offset: toLogOffset(firstOffset + index), timeMs, value: copy });
    });
    this.pendingReads.forEach((resolveRead) => resolveRead());
    return Promise.resolve(firstOffset);
  }

  override async read(from: LogOffset, options: LogReadOptions = {}): Promise<LogPage> {
    if (from >= this.headOffset && options.waitMs) {
      await this.waitForRecord(options.waitMs, options.signal);
    }
    if (from < this.oldestOffset) {
      throw new LogError(
        `offset ${from} has been trimmed`,
        'trimmed',
        toLogOffset(this.oldestOffset),
      );
    }
    const startIndex = from - this.oldestOffset;
    return {
      records: this.records.slice(startIndex, startIndex + (options.limit ?? DEFAULT_READ_LIMIT)),
      headOffset: this.headOffset,
      firstOffset: toLogOffset(this.oldestOffset),
    };
  }

  /** Removes the records before an offset, like the log's retention. */
  trim(endOffset: LogOffset): void {
    const dropCount = Math.min(Math.max(endOffset - this.oldestOffset, 0), this.records.length);
    this.records = this.records.slice(dropCount);
    this.oldestOffset += dropCount;
  }

  /** Removes the records with a log timestamp before the given time. */
  trimOlderThan(timeMs: number): void {
    const firstKeptIndex = this.records.findIndex((record) => record.timeMs >= timeMs);
    this.trim(
      firstKeptIndex < 0 ? this.headOffset : toLogOffset(this.oldestOffset + firstKeptIndex),
    );
  }

  private waitForRecord(waitMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finished = new AbortController();
      const finish = (): void => {
        this.pendingReads.delete(finish);
        finished.abort();
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      finished.signal.addEventListener('abort', () => clearTimeout(timer), { once: true });
      signal?.addEventListener('abort', finish, { once: true, signal: finished.signal });
      this.pendingReads.add(finish);
    });
  }
}
