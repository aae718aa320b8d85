import { STREAM_LIFE_MS, sleep } from '@goldcrestscale/core';
import type {
  BegunStream,
  BegunStreams,
  RequestId,
  VersionsInUse,
  VmId,
} from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import {
  MAX_STREAM_READ_MS,
  MAX_STREAM_READ_RESTARTS,
  MAX_STREAMS_PER_RECORD,
  STREAM_LOOKUP_DELAY_MS,
  STREAM_LOOKUP_TIMEOUT_MS,
  STREAM_RECORD_DELAY_MS,
  STREAM_RECORD_RETRY_MS,
} from '../constants.js';
import type { FaultRecorder } from '../faultRecorder.js';
import { LogTrimmedError } from '../ports/index.js';
import type { KeyedRecord, LogBatch, LogEra, SharedLog } from '../ports/index.js';
import { LogHealthMonitor } from './logHealthMonitor.js';
import { SharedRead } from './sharedRead.js';
import { applyRecords } from './applyRecords.js';
import { selectNewestRecords } from './selectNewestRecords.js';
import { decodeStreams, encodeStreams } from './streamRecord.js';

/** Dependencies of the controller. */
export interface StreamRecordsOptions {
  readonly self: VmId;
  readonly log: SharedLog;
  readonly logger: Logger;
  readonly faults: FaultRecorder;
  readonly streams: BegunStreams;
  readonly versions: VersionsInUse;
  /** Sends a record to a relay, which appends it with those of others; false without a relay. */
  readonly forwardRecord: (record: KeyedRecord) => boolean;
}

interface OwnStream {
  readonly stream: BegunStream;
  readonly begunAtMs: number;
  isWritten: boolean;
}

const START_OFFSET = 0;

/**
 * Keeps in the log which version began a stream, so that any VM can go on with it, also after the
 * loss of all VMs. Streams of a service with a single version are not written: no other one can have
 * begun them.
 */
export class StreamRecordsController {
  private ownStreams: OwnStream[] = [];

  /** Records to append: those of followers, and those that could not be appended. */
  private pendingRecords: KeyedRecord[] = [];

  /** Whether records have been dropped since the log took some. */
  private hasDropped = false;

  private writeTimer: NodeJS.Timeout | undefined;

  private readonly logHealth: LogHealthMonitor;

  private nextOffset = START_OFFSET;

  private era: LogEra | undefined;

  /** Reads all records that had been appended at the time of the call. */
  private readonly records = new SharedRead(() => this.readToEnd());

  /** Undefined before the start. */
  private signal: AbortSignal | undefined;

  constructor(private readonly options: StreamRecordsOptions) {
    this.logHealth = new LogHealthMonitor('streams', options.logger);
  }

  /** Writes records until the signal aborts. */
  start(signal: AbortSignal): void {
    this.signal = signal;
    signal.addEventListener('abort', () => clearTimeout(this.writeTimer));
  }

  /** Records a stream whose first event is being passed on. */
  recordBegun(stream: BegunStream): void {
    this.options.streams.record(stream);
    this.expire();
    this.ownStreams.push({ stream, begunAtMs: performance.now(), isWritten: false });
    if (this.options.versions.hasSeveral(stream.service)) this.scheduleWrite();
  }

  /** Writes the streams of services that have got a second version. */
  checkVersions(): void {
    const { versions } = this.options;
    this.expire();
    const unwritten = this.ownStreams.filter(({ isWritten }) => !isWritten);
    const services = new Set(unwritten.map(({ stream }) => stream.service));
    if ([...services].some((service) => versions.hasSeveral(service))) this.scheduleWrite();
  }

  /** Writes all live streams again, because a relay or the log has lost what it was given. */
  rewrite(): void {
    this.ownStreams.forEach((own) => {
      Object.assign(own, { isWritten: false });
    });
    this.scheduleWrite();
  }

  /** Appends a follower's record with the next own ones. */
  relayRecord(record: KeyedRecord): void {
    this.addPending([record]);
    this.scheduleWrite();
  }

  /**
   * Finds a stream that any VM has begun.
   *
   * @returns undefined if its version is not known
   */
  async find(requestId: RequestId, signal: AbortSignal): Promise<BegunStream | undefined> {
    const { streams } = this.options;
    const known = streams.find(requestId);
    if (known) return known;
    const read = (): Promise<boolean> =>
      Promise.race([
        this.records.run().then(() => true),
        sleep(STREAM_LOOKUP_TIMEOUT_MS, signal).then(() => false),
      ]);
    const isInTime = await read();
    if (isInTime && !streams.find(requestId) && !this.logHealth.isDown && !signal.aborted) {
      // The VM that began it may have been lost while its record was under way to the log.
      await sleep(STREAM_LOOKUP_DELAY_MS, signal);
      await read();
    }
    return streams.find(requestId);
  }

  /** Keeps the newest records, if the log is away for so long that they become too many. */
  private addPending(records: readonly KeyedRecord[]): void {
    const all = [...this.pendingRecords, ...records];
    this.pendingRecords = selectNewestRecords(all);
    const dropped = all.length - this.pendingRecords.length;
    if (dropped > 0 && !this.hasDropped) {
      this.options.logger.warn('dropping the oldest records of begun streams', { dropped });
    }
    this.hasDropped ||= dropped > 0;
  }

  private expire(): void {
    const oldestMs = performance.now() - STREAM_LIFE_MS;
    const firstLive = this.ownStreams.findIndex(({ begunAtMs }) => begunAtMs > oldestMs);
    if (firstLive !== 0) this.ownStreams = firstLive < 0 ? [] : this.ownStreams.slice(firstLive);
  }

  private scheduleWrite(): void {
    const { signal } = this;
    if (!signal || signal.aborted) return;
    const delayMs = this.logHealth.isDown ? STREAM_RECORD_RETRY_MS : STREAM_RECORD_DELAY_MS;
    this.writeTimer ??= setTimeout(() => {
      this.writeTimer = undefined;
      void this.write(signal);
    }, delayMs);
  }

  private async write(signal: AbortSignal): Promise<void> {
    const { self, versions, forwardRecord, log } = this.options;
    this.expire();
    const unwritten = this.ownStreams
      .filter(({ stream, isWritten }) => !isWritten && versions.hasSeveral(stream.service))
      .slice(0, MAX_STREAMS_PER_RECORD);
    if (unwritten.length > 0) {
      const streams = unwritten.map(({ stream }) => stream);
      const record = encodeStreams(self, streams);
      unwritten.forEach((own) => Object.assign(own, { isWritten: true }));
      if (!forwardRecord(record)) this.addPending([record]);
    }
    const records = this.pendingRecords;
    this.pendingRecords = [];
    if (records.length > 0) {
      try {
        await log.append('streams', records, signal);
        this.hasDropped = false;
        this.logHealth.recordSuccess();
      } catch (cause) {
        if (signal.aborted) return;
        this.logHealth.recordFailure(cause);
        this.addPending(records);
      }
    }
    if (unwritten.length === MAX_STREAMS_PER_RECORD || this.pendingRecords.length > 0)
      this.scheduleWrite();
  }

  /** A log that can't be read leaves the streams unknown, so that they don't go on. */
  private async readToEnd(): Promise<void> {
    const { signal } = this;
    if (!signal) return;
    try {
      await this.readRecords(signal);
      this.logHealth.recordSuccess();
    } catch (cause) {
      if (!signal.aborted) this.logHealth.recordFailure(cause);
    }
  }

  /**
   * Reads up to the end that the first answer tells; the next read goes on from there.
   *
   * @throws if the log does not get there
   */
  private async readRecords(signal: AbortSignal): Promise<void> {
    const startedAtMs = performance.now();
    let restarts = 0;
    let endOffset: number | undefined;
    do {
      if (performance.now() - startedAtMs > MAX_STREAM_READ_MS) {
        throw new Error(`streams: not at the end ${endOffset} in time, but at ${this.nextOffset}`);
      }
      const from = this.nextOffset;
      const batch = await this.readBatch(signal);
      if (batch === 'nothing') return;
      if (batch !== 'restart') {
        endOffset ??= batch.endOffset;
        if (batch.records.length === 0) return;
        if (batch.nextOffset <= from) throw new Error(`streams: no next offset after ${from}`);
      } else {
        restarts += 1;
        endOffset = undefined;
        if (restarts > MAX_STREAM_READ_RESTARTS) throw new Error('streams: no stable offset');
      }
    } while (endOffset === undefined || this.nextOffset < endOffset);
  }

  /** @returns whether the read has to start at another offset, or there is nothing to read */
  private async readBatch(signal: AbortSignal): Promise<LogBatch | 'restart' | 'nothing'> {
    const { log, streams, faults } = this.options;
    try {
      const batch = await log.read('streams', this.nextOffset, { longPollMs: 0, signal });
      const isOtherEra = this.era !== undefined && batch.era !== this.era;
      this.era = batch.era;
      if (isOtherEra) {
        this.nextOffset = START_OFFSET;
        return 'restart';
      }
      applyRecords('streams', batch.records, faults, (record) =>
        decodeStreams(record).forEach((stream) => streams.record(stream)),
      );
      this.nextOffset = batch.nextOffset;
      return batch;
    } catch (cause) {
      if (!(cause instanceof LogTrimmedError)) throw cause;
      // Offsets beyond the end are trimmed as well, after the log came back from a copy.
      const first = cause.firstOffset ?? START_OFFSET;
      if (first === this.nextOffset) return 'nothing';
      this.nextOffset = first;
      return 'restart';
    }
  }
}
