import { advanceClockReading, computeMaxElapsedMs, readClocks, sleep } from '@goldcrestscale/core';
import type { ClockReading } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import {
  LOG_RETRY_DELAY_MS,
  MAX_RELAY_LAG_MS,
  MIN_RELAY_CHECK_INTERVAL_MS,
  RELAY_SYNC_TTL_MS,
} from '../constants.js';
import type { RelayedBatch, RelayedPosition } from '../mesh/feedMessage.js';
import { LogTrimmedError } from '../ports/index.js';
import type { KeyedRecord, LogTopic, SharedLog } from '../ports/index.js';
import { LogHealthMonitor } from './logHealthMonitor.js';

/** Options of a topic reader. */
export interface TopicReaderOptions {
  readonly log: SharedLog;
  readonly topic: LogTopic;
  readonly logger: Logger;
  /** Returns the long-poll timeout of a read; 0 if reads should return at once. */
  readonly getLongPollMs: () => number;
  /** Returns the pause between two reads. */
  readonly getPauseMs: () => number;
  /** Called with the newest record of each key. */
  readonly onSnapshot: (records: readonly KeyedRecord[]) => void;
  readonly onRecords: (records: readonly KeyedRecord[]) => void;
  /** Called with a moment; all records appended before it have been read. */
  readonly onCaughtUp?: (at: ClockReading) => void;
  readonly onRecovery?: () => void;
  readonly onOutage?: () => void;
  /** Called with the records that this reader read from the log itself, to be relayed to followers. */
  readonly onBatch?: ((batch: RelayedBatch) => void) | undefined;
}

/**
 * Follows one topic of the log: reads a snapshot of the newest record of each key, then the records
 * appended after it. It does not read the log while a relay keeps it up to date.
 */
export class TopicReader {
  private readonly logHealth: LogHealthMonitor;

  private position: number | undefined;

  private caughtUpAt: ClockReading | undefined;

  private relaySyncedAtMs = -Infinity;

  constructor(private readonly options: TopicReaderOptions) {
    this.logHealth = new LogHealthMonitor(options.topic, options.logger);
  }

  /** Whether the snapshot of the topic has been read. */
  get hasSnapshot(): boolean {
    return this.position !== undefined;
  }

  get isDown(): boolean {
    return this.logHealth.isDown;
  }

  /** Applies records from a relay. A batch after a gap is ignored; the next own read fills the gap. */
  applyRelayed({ from, next, records }: RelayedBatch): void {
    if (this.position === undefined || from > this.position || next <= this.position) return;
    this.options.onRecords(records.slice(this.position - from));
    this.position = next;
  }

  /**
   * Records how far a relay has read; ignored if the relay lags behind the log or is ahead of this
   * reader.
   *
   * @param requestedAt moment before the relay was asked for its position
   */
  recordRelayPosition({ position, provedAgeMs }: RelayedPosition, requestedAt: ClockReading): void {
    if (this.position === undefined || position > this.position) return;
    if (provedAgeMs > MAX_RELAY_LAG_MS) return;
    this.relaySyncedAtMs = performance.now();
    this.recordSuccess();
    this.options.onCaughtUp?.(advanceClockReading(requestedAt, -provedAgeMs));
  }

  /** Returns the position of its own reads; undefined before the first one and while it is relayed. */
  getOwnPosition(): RelayedPosition | undefined {
    if (this.position === undefined || !this.caughtUpAt || this.isRelayed) return undefined;
    const provedAgeMs = computeMaxElapsedMs(this.caughtUpAt);
    return { topic: this.options.topic, position: this.position, provedAgeMs };
  }

  /** Remaining time for which the relay's last position is valid. */
  private get relayValidForMs(): number {
    return this.relaySyncedAtMs + RELAY_SYNC_TTL_MS - performance.now();
  }

  private get isRelayed(): boolean {
    return this.relayValidForMs > 0;
  }

  /** Runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        if (this.isRelayed) {
          await sleep(Math.max(MIN_RELAY_CHECK_INTERVAL_MS, this.relayValidForMs), signal);
        } else {
          await this.readOnce(signal);
          const pauseMs = this.options.getPauseMs();
          if (pauseMs > 0) await sleep(pauseMs, signal);
        }
      } catch (cause) {
        if (signal.aborted) return;
        if (cause instanceof LogTrimmedError) this.position = undefined;
        else this.recordFailure(cause);
        await sleep(LOG_RETRY_DELAY_MS, signal);
      }
    }
  }

  private async readOnce(signal: AbortSignal): Promise<void> {
    const { log, topic, getLongPollMs, onRecords, onBatch } = this.options;
    const startedAt = readClocks();
    const from = this.position;
    if (from === undefined) {
      await this.readSnapshot(startedAt, signal);
      return;
    }
    const longPollMs = getLongPollMs();
    const batch = await log.read(topic, from, { longPollMs, signal });
    this.recordSuccess();
    // A relay delivered some of these records meanwhile; the next read starts after them.
    if (this.position !== from) return;
    onRecords(batch.records);
    this.position = batch.nextOffset;
    if (batch.records.length > 0) {
      onBatch?.({ topic, from, next: batch.nextOffset, records: batch.records });
    }
    // An empty batch was returned after the full long-poll timeout, however late it arrived.
    const waitedMs = batch.records.length === 0 ? longPollMs : 0;
    this.recordCaughtUp(advanceClockReading(startedAt, waitedMs));
  }

  private async readSnapshot(startedAt: ClockReading, signal: AbortSignal): Promise<void> {
    const { log, topic, onSnapshot } = this.options;
    const snapshot = await log.readSnapshot(topic, signal);
    this.recordSuccess();
    onSnapshot(snapshot.records);
    this.position = snapshot.endOffset;
    this.recordCaughtUp(startedAt);
  }

  private recordCaughtUp(at: ClockReading): void {
    this.caughtUpAt = at;
    this.options.onCaughtUp?.(at);
  }

  private recordSuccess(): void {
    if (this.logHealth.recordSuccess()) this.options.onRecovery?.();
  }

  private recordFailure(cause: unknown): void {
    this.logHealth.recordFailure(cause);
    this.options.onOutage?.();
  }
}
