import { advanceMoment, getNow, sleep } from '@goldcrestscale/core';
import type { Moment } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import { LOG_RETRY_MS } from '../constants.js';
import { LogTrimmedError } from '../ports/index.js';
import type { KeyedRecord, LogTopic, SharedLog } from '../ports/index.js';
import { LogWatch } from './logWatch.js';

/** What a reader is made of. */
export interface TopicReaderOptions {
  readonly log: SharedLog;
  readonly topic: LogTopic;
  readonly logger: Logger;
  /** Time for which a read waits for a record, in milliseconds; 0 answers at once. */
  readonly waitMs: number;
  /** Gives the pause between two reads, in milliseconds. */
  readonly getPauseMs: () => number;
  /** Takes the newest record of every key. */
  readonly onSnapshot: (records: readonly KeyedRecord[]) => void;
  readonly onRecords: (records: readonly KeyedRecord[]) => void;
  /** Told a moment at which every record until then was known. */
  readonly onProved?: (at: Moment) => void;
  readonly onReturn?: () => void;
  readonly onDown?: () => void;
}

/** Follows one topic of the log: the newest record of each key first, then what is appended. */
export class TopicReader {
  private readonly watch: LogWatch;

  private position: number | undefined;

  constructor(private readonly options: TopicReaderOptions) {
    this.watch = new LogWatch(options.topic, options.logger);
  }

  /** Tells whether the topic has been read since the start. */
  get hasRead(): boolean {
    return this.position !== undefined;
  }

  get isDown(): boolean {
    return this.watch.isDown;
  }

  /** Reads until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.readOnce(signal);
        const pauseMs = this.options.getPauseMs();
        if (pauseMs > 0) await sleep(pauseMs, signal);
      } catch (cause) {
        if (signal.aborted) return;
        if (cause instanceof LogTrimmedError) this.position = undefined;
        else this.noteFailure(cause);
        await sleep(LOG_RETRY_MS, signal);
      }
    }
  }

  private async readOnce(signal: AbortSignal): Promise<void> {
    const { log, topic, waitMs, onSnapshot, onRecords, onProved } = this.options;
    const startedAt = getNow();
    if (this.position === undefined) {
      const snapshot = await log.readNewest(topic, signal);
      this.noteSuccess();
      onSnapshot(snapshot.records);
      this.position = snapshot.end;
      onProved?.(startedAt);
      return;
    }
    const batch = await log.read(topic, this.position, { waitMs, signal });
    this.noteSuccess();
    onRecords(batch.records);
    this.position = batch.next;
    // An empty answer was given after the whole wait, however late it came.
    const waitedMs = batch.records.length === 0 ? waitMs : 0;
    onProved?.(advanceMoment(startedAt, waitedMs));
  }

  private noteSuccess(): void {
    if (this.watch.noteSuccess()) this.options.onReturn?.();
  }

  private noteFailure(cause: unknown): void {
    this.watch.noteFailure(cause);
    this.options.onDown?.();
  }
}
