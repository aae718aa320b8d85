import { advanceMoment, computeLongestElapsed, getNow, sleep } from '@goldcrestscale/core';
import type { Moment } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import { FEED_CHECK_MS, FEED_PROOF_MS, FEED_SYNC_MS, LOG_RETRY_MS } from '../constants.js';
import type { RelayedBatch, RelayedPosition } from '../mesh/feedMessage.js';
import { LogTrimmedError } from '../ports/index.js';
import type { KeyedRecord, LogTopic, SharedLog } from '../ports/index.js';
import { LogWatch } from './logWatch.js';

/** What a reader is made of. */
export interface TopicReaderOptions {
  readonly log: SharedLog;
  readonly topic: LogTopic;
  readonly logger: Logger;
  /** Gives the time for which a read waits for a record, in milliseconds; 0 answers at once. */
  readonly getWaitMs: () => number;
  /** Gives the pause between two reads, in milliseconds. */
  readonly getPauseMs: () => number;
  /** Takes the newest record of every key. */
  readonly onSnapshot: (records: readonly KeyedRecord[]) => void;
  readonly onRecords: (records: readonly KeyedRecord[]) => void;
  /** Told a moment at which every record until then was known. */
  readonly onProved?: (at: Moment) => void;
  readonly onReturn?: () => void;
  readonly onDown?: () => void;
  /** Told what this reader has read by itself, for those that follow it. */
  readonly onBatch?: ((batch: RelayedBatch) => void) | undefined;
}

/**
 * Follows one topic of the log: the newest record of each key first, then what is appended. While
 * a relay tells what it reads, nothing is asked of the log.
 */
export class TopicReader {
  private readonly watch: LogWatch;

  private position: number | undefined;

  private provedAt: Moment | undefined;

  private syncedAtMs = -Infinity;

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

  /** Takes what a relay has read; after a gap, a read of its own comes first. */
  takeRelayed({ from, next, records }: RelayedBatch): void {
    if (this.position === undefined || from > this.position || next <= this.position) return;
    this.options.onRecords(records.slice(this.position - from));
    this.position = next;
  }

  /** Notes how far a relay had read after a moment; it counts while the relay itself is current. */
  noteRelayed({ position, provedAgeMs }: RelayedPosition, askedAt: Moment): void {
    if (this.position === undefined || position > this.position) return;
    if (provedAgeMs > FEED_PROOF_MS) return;
    this.syncedAtMs = performance.now();
    this.noteSuccess();
    this.options.onProved?.(advanceMoment(askedAt, -provedAgeMs));
  }

  /** Tells how far it has read by itself; undefined where a relay does it, or it is too old. */
  describePosition(): RelayedPosition | undefined {
    if (this.position === undefined || !this.provedAt || this.isRelayed) return undefined;
    const provedAgeMs = computeLongestElapsed(this.provedAt);
    return { topic: this.options.topic, position: this.position, provedAgeMs };
  }

  /** Time for which a relay's last answer still stands, in milliseconds. */
  private get syncedForMs(): number {
    return this.syncedAtMs + FEED_SYNC_MS - performance.now();
  }

  private get isRelayed(): boolean {
    return this.syncedForMs > 0;
  }

  /** Reads until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        if (this.isRelayed) {
          await sleep(Math.max(FEED_CHECK_MS, this.syncedForMs), signal);
        } else {
          await this.readOnce(signal);
          const pauseMs = this.options.getPauseMs();
          if (pauseMs > 0) await sleep(pauseMs, signal);
        }
      } catch (cause) {
        if (signal.aborted) return;
        if (cause instanceof LogTrimmedError) this.position = undefined;
        else this.noteFailure(cause);
        await sleep(LOG_RETRY_MS, signal);
      }
    }
  }

  private async readOnce(signal: AbortSignal): Promise<void> {
    const { log, topic, getWaitMs, onRecords, onBatch } = this.options;
    const startedAt = getNow();
    const from = this.position;
    if (from === undefined) {
      await this.readSnapshot(startedAt, signal);
      return;
    }
    const waitMs = getWaitMs();
    const batch = await log.read(topic, from, { waitMs, signal });
    this.noteSuccess();
    // Where a relay has told some of it meanwhile, the next read goes on from there.
    if (this.position !== from) return;
    onRecords(batch.records);
    this.position = batch.next;
    if (batch.records.length > 0) {
      onBatch?.({ topic, from, next: batch.next, records: batch.records });
    }
    // An empty answer was given after the whole wait, however late it came.
    const waitedMs = batch.records.length === 0 ? waitMs : 0;
    this.noteProved(advanceMoment(startedAt, waitedMs));
  }

  private async readSnapshot(startedAt: Moment, signal: AbortSignal): Promise<void> {
    const { log, topic, onSnapshot } = this.options;
    const snapshot = await log.readNewest(topic, signal);
    this.noteSuccess();
    onSnapshot(snapshot.records);
    this.position = snapshot.end;
    this.noteProved(startedAt);
  }

  private noteProved(at: Moment): void {
    this.provedAt = at;
    this.options.onProved?.(at);
  }

  private noteSuccess(): void {
    if (this.watch.noteSuccess()) this.options.onReturn?.();
  }

  private noteFailure(cause: unknown): void {
    this.watch.noteFailure(cause);
    this.options.onDown?.();
  }
}
