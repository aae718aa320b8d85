import { toLogOffset } from '../ids.js';
import type { LogOffset } from '../ids.js';
import { LogError } from './logError.js';
import { LogStream } from './logStream.js';
import type { LogPage, LogReadOptions, LogRecord } from './logStream.js';

const DEFAULT_READ_LIMIT = 1000;

/** Stream held in memory: the storage of the stand-in log and the log of unit tests. */
export class MemoryLog extends LogStream {
  private records: LogRecord[] = [];

  private first = 0;

  private readonly waiters = new Set<() => void>();

  /** Offset of the next record. */
  get headOffset(): LogOffset {
    return toLogOffset(this.first + this.records.length);
  }

  override append(values: readonly unknown[]): Promise<LogOffset> {
    const start = this.headOffset;
    const timeMs = Date.now();
    values.forEach((value, index) => {
      const copy: unknown = JSON.parse(JSON.stringify(value));
      this.records.push({ offset: toLogOffset(start + index), timeMs, value: copy });
    });
    this.waiters.forEach((wake) => wake());
    return Promise.resolve(start);
  }

  override async read(from: LogOffset, options: LogReadOptions = {}): Promise<LogPage> {
    if (from >= this.headOffset && options.waitMs) {
      await this.waitForRecord(options.waitMs, options.signal);
    }
    if (from < this.first) {
      throw new LogError(`offset ${from} is trimmed`, 'trimmed', toLogOffset(this.first));
    }
    const start = from - this.first;
    return {
      records: this.records.slice(start, start + (options.limit ?? DEFAULT_READ_LIMIT)),
      headOffset: this.headOffset,
      firstOffset: toLogOffset(this.first),
    };
  }

  /** Removes the records before an offset, as retention does. */
  trim(before: LogOffset): void {
    const drop = Math.min(Math.max(before - this.first, 0), this.records.length);
    this.records = this.records.slice(drop);
    this.first += drop;
  }

  /** Removes the records that are older than a time of the log's clock. */
  trimOlderThan(timeMs: number): void {
    const kept = this.records.findIndex((record) => record.timeMs >= timeMs);
    this.trim(kept < 0 ? this.headOffset : toLogOffset(this.first + kept));
  }

  private waitForRecord(waitMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const timers = new AbortController();
      const finish = (): void => {
        this.waiters.delete(finish);
        timers.abort();
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      timers.signal.addEventListener('abort', () => clearTimeout(timer), { once: true });
      signal?.addEventListener('abort', finish, { once: true, signal: timers.signal });
      this.waiters.add(finish);
    });
  }
}
