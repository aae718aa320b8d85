import { advanceClockReading, computeMaxElapsedMs, readClocks, sleep } from '@goldcrestscale/core';
import type { ClockReading } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import { ERA_SETTLE_MS, LOG_RETRY_DELAY_MS, MIN_READ_INTERVAL_MS } from '../constants.js';
import type { RelayedBatch, RelayedPosition } from '../mesh/feedMessage.js';
import { LogTrimmedError } from '../ports/index.js';
import type { KeyedRecord, LogBatch, LogEra, LogTopic, SharedLog } from '../ports/index.js';
import type { FactTiming } from './factTiming.js';
import { LogHealthMonitor } from './logHealthMonitor.js';
import { SharedRead } from './sharedRead.js';

/** Consecutive responses of an earlier era that are ignored before it counts as the current one. */
const MAX_EARLIER_ERA_RESPONSES = 5;

/** Options of a topic reader. */
export interface TopicReaderOptions {
  readonly log: SharedLog;
  readonly topic: LogTopic;
  readonly logger: Logger;
  /** Returns the long-poll timeout of a read; 0 if reads should return at once. */
  readonly getLongPollMs: () => number;
  /** Returns the pause between two reads. */
  readonly getPauseMs: () => number;
  /** How long this reader relies on a relay's proof. */
  readonly timing: FactTiming;
  /**
   * When this VM begins to read among the followers of a relay, in [0, 1); the same for all topics, so
   * that the first reads of the followers are spread too.
   *
   * @default a random number
   */
  readonly readPhase?: number;
  /**
   * Called with the newest record of each key.
   *
   * @param isSettled false shortly after the log came back from a copy: records that it lost are
   * written again, so a missing record does not yet mean a deletion
   */
  readonly onSnapshot: (records: readonly KeyedRecord[], isSettled: boolean) => void;
  readonly onRecords: (records: readonly KeyedRecord[]) => void;
  /** Called with a moment; all records appended before it have been read. */
  readonly onCaughtUp?: (at: ClockReading) => void;
  readonly onRecovery?: () => void;
  readonly onOutage?: () => void;
  /** Called when the log came back from an older copy; what this VM wrote since then is lost. */
  readonly onNewEra?: () => void;
  /** Called with the records that this reader read from the log itself, to be relayed to followers. */
  readonly onBatch?: ((batch: RelayedBatch) => void) | undefined;
}

/** Part of its long-poll timeout that an empty read takes at least if the log waited for records. */
const MIN_WAITED_FRACTION = 0.9;

/** Time after which a first read takes longer than usual, in milliseconds. */
const USUAL_FIRST_READ_MS = 800;

/**
 * Computes how long after the beginning of a read the log still had no records. An empty batch was
 * returned after the full timeout, however late it arrived; one that came early tells nothing.
 */
const computeWaitedMs = (
  { records }: LogBatch,
  { monotonicMs }: ClockReading,
  longPollMs: number,
): number => {
  const elapsedMs = performance.now() - monotonicMs;
  const hasWaited = records.length === 0 && elapsedMs >= longPollMs * MIN_WAITED_FRACTION;
  return hasWaited ? Math.min(longPollMs, elapsedMs) : 0;
};

/**
 * Follows one topic of the log: reads a snapshot of the newest record of each key, then the records
 * appended after it. It does not read the log while a relay keeps it up to date.
 */
export class TopicReader {
  private readonly createdAtMs = performance.now();

  private readonly logHealth: LogHealthMonitor;

  private position: number | undefined;

  /** Era of the position. */
  private era: LogEra | undefined;

  private earlierEraResponses = 0;

  private settledAtMs = -Infinity;

  private needsSettledSnapshot = false;

  private caughtUpAt: ClockReading | undefined;

  private readonly newest = new SharedRead(() => this.readToEnd());

  /** Undefined before the start. */
  private signal: AbortSignal | undefined;

  /** Newest moment of which a relay proved that this reader knows all records before it. */
  private relayProvedAt: ClockReading | undefined;

  /** Age of that proof at which this reader reads the log; differs between the followers of a relay. */
  private readonly maxProofAgeMs: number;

  constructor(private readonly options: TopicReaderOptions) {
    const { timing, readPhase = Math.random() } = options;
    this.maxProofAgeMs = timing.maxProofAgeMs - readPhase * timing.readSpreadMs;
    this.logHealth = new LogHealthMonitor(options.topic, options.logger);
  }

  /** Whether the snapshot of the topic has been read. */
  get hasSnapshot(): boolean {
    return this.position !== undefined;
  }

  get isDown(): boolean {
    return this.logHealth.isDown;
  }

  /**
   * Time for which the log has been unavailable, or a first read takes longer than usual, in
   * milliseconds; undefined if neither is so.
   */
  get outageMs(): number | undefined {
    if (this.hasSnapshot) return this.logHealth.downMs;
    const sinceStartMs = performance.now() - this.createdAtMs;
    const isLate = this.isDown || sinceStartMs > USUAL_FIRST_READ_MS;
    return isLate ? sinceStartMs : undefined;
  }

  /** Whether it reads the log itself, and the last read was answered not long ago. */
  get isReading(): boolean {
    if (this.isRelayed || this.isDown || !this.caughtUpAt) return false;
    return computeMaxElapsedMs(this.caughtUpAt) < this.options.timing.maxProofAgeMs;
  }

  /** Applies records from a relay. A batch after a gap is ignored; the next own read fills the gap. */
  applyRelayed(batch: RelayedBatch): void {
    if (batch.era === this.era) this.applyBatch(batch);
  }

  /**
   * Reads from the log itself all records that it had accepted before the call; callers that wait
   * share the reads. What a relay tells doesn't count, because its view may be older than the call.
   *
   * @throws if the log doesn't tell, or hasn't settled since it came back from a copy
   */
  refresh(): Promise<void> {
    return this.newest.run();
  }

  /**
   * Records how far a relay has read; ignored if the relay lags behind the log or is ahead of this
   * reader.
   *
   * @param requestedAt moment before the relay was asked for its position
   */
  recordRelayPosition(
    { position, provedAgeMs, era }: RelayedPosition,
    requestedAt: ClockReading,
  ): void {
    if (era !== this.era || this.needsSettledSnapshot) return;
    if (this.position === undefined || position > this.position) return;
    const provedAt = advanceClockReading(requestedAt, -provedAgeMs);
    if (computeMaxElapsedMs(provedAt) > this.maxProofAgeMs) return;
    if (provedAt.monotonicMs > (this.relayProvedAt?.monotonicMs ?? -Infinity)) {
      this.relayProvedAt = provedAt;
    }
    this.recordSuccess();
    this.options.onCaughtUp?.(provedAt);
  }

  /** Returns the position of its own reads; undefined before the first one and while it is relayed. */
  getOwnPosition(): RelayedPosition | undefined {
    if (this.position === undefined || !this.caughtUpAt || this.isRelayed) return undefined;
    if (this.era === undefined) return undefined;
    const provedAgeMs = computeMaxElapsedMs(this.caughtUpAt);
    return { topic: this.options.topic, era: this.era, position: this.position, provedAgeMs };
  }

  /** Remaining time for which this reader relies on the relay's proof, in milliseconds. */
  private get relayValidForMs(): number {
    return this.relayProvedAt
      ? this.maxProofAgeMs - computeMaxElapsedMs(this.relayProvedAt)
      : -Infinity;
  }

  private get isRelayed(): boolean {
    return this.relayValidForMs > 0;
  }

  /** Runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.signal = signal;
    while (!signal.aborted) {
      try {
        if (this.isRelayed) {
          await sleep(Math.ceil(this.relayValidForMs), signal);
        } else {
          const startedAtMs = performance.now();
          await this.readOnce(signal);
          // A log that always has more, or does not wait for it, would be read without a pause.
          const restMs = startedAtMs + MIN_READ_INTERVAL_MS - performance.now();
          const pauseMs = Math.max(this.options.getPauseMs(), restMs);
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
    const mustSettle = this.needsSettledSnapshot && performance.now() >= this.settledAtMs;
    if (from === undefined || mustSettle) {
      await this.readSnapshot(startedAt, signal);
      return;
    }
    const longPollMs = getLongPollMs();
    const batch = await log.read(topic, from, { longPollMs, signal });
    this.recordSuccess();
    if (!this.checkEra(batch.era)) return;
    // A relay delivered some of these records meanwhile; the next read starts after them.
    if (this.position !== from) return;
    onRecords(batch.records);
    this.position = batch.nextOffset;
    if (batch.records.length > 0) {
      onBatch?.({ topic, era: batch.era, from, next: batch.nextOffset, records: batch.records });
    }
    this.recordCaughtUp(
      advanceClockReading(startedAt, computeWaitedMs(batch, startedAt, longPollMs)),
    );
  }

  private async readToEnd(): Promise<void> {
    const { log, topic, onBatch } = this.options;
    const { signal } = this;
    const startedAt = readClocks();
    let endOffset: number | undefined;
    do {
      const from = this.position;
      if (!signal || from === undefined || this.needsSettledSnapshot) {
        throw new Error(`${topic}: no settled snapshot has been read`);
      }
      const batch = await log.read(topic, from, { longPollMs: 0, signal });
      this.recordSuccess();
      if (!this.checkEra(batch.era)) throw new Error(`${topic}: the log came back from a copy`);
      const applied = this.applyBatch({ ...batch, topic, from, next: batch.nextOffset });
      if (applied) onBatch?.(applied);
      endOffset ??= batch.endOffset;
      if (batch.nextOffset === from && from < endOffset) {
        throw new Error(`${topic}: no records at offset ${from} before the end ${endOffset}`);
      }
    } while ((this.position ?? 0) < endOffset);
    this.recordCaughtUp(startedAt);
  }

  /** @returns the part of the batch that was new; undefined if none was, or if records before it lack */
  private applyBatch(batch: RelayedBatch): RelayedBatch | undefined {
    const { position } = this;
    if (position === undefined || batch.from > position || batch.next <= position) return undefined;
    const records = batch.records.slice(position - batch.from);
    this.options.onRecords(records);
    this.position = batch.next;
    return { ...batch, from: position, records };
  }

  private async readSnapshot(startedAt: ClockReading, signal: AbortSignal): Promise<void> {
    const { log, topic, onSnapshot } = this.options;
    const snapshot = await log.readSnapshot(topic, signal);
    this.recordSuccess();
    this.checkEra(snapshot.era);
    const isSettled = performance.now() >= this.settledAtMs;
    onSnapshot(snapshot.records, isSettled);
    this.needsSettledSnapshot = !isSettled;
    this.position = snapshot.endOffset;
    this.recordCaughtUp(startedAt);
  }

  /**
   * @returns whether the era is that of the position; otherwise a new snapshot is read
   * @throws for a response of an earlier era
   */
  private checkEra(era: LogEra): boolean {
    const { logger, topic, onNewEra } = this.options;
    if (era === this.era) {
      this.earlierEraResponses = 0;
      return true;
    }
    if (this.era === undefined) {
      this.era = era;
      return true;
    }
    if (era < this.era && this.earlierEraResponses < MAX_EARLIER_ERA_RESPONSES) {
      // A response that was under way while the log was replaced, or a faulty one.
      this.earlierEraResponses += 1;
      throw new Error(`response of era ${era} of the log after one of era ${this.era}`);
    }
    this.earlierEraResponses = 0;
    logger.warn('log came back from a copy; reading it again', { topic, era, known: this.era });
    this.era = era;
    this.position = undefined;
    this.caughtUpAt = undefined;
    this.relayProvedAt = undefined;
    this.settledAtMs = performance.now() + ERA_SETTLE_MS;
    this.needsSettledSnapshot = true;
    onNewEra?.();
    return false;
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
