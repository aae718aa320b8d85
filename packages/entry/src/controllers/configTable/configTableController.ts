import {
  LogError,
  TableGapError,
  TableReplica,
  createBackoff,
  createConfigTable,
  createSnapshotRecord,
  pickSnapshotJitter,
  isSnapshotDue,
  loadSnapshot,
  sleep,
  snapshotRecordSchema,
} from '@goldcrestscale/core';
import type {
  ConfigTable,
  LogOffset,
  LogStream,
  RandomGenerator,
  SnapshotRecord,
} from '@goldcrestscale/core';
import { Controller } from '../controller.js';
import {
  SNAPSHOT_RETRY_INTERVAL_MS,
  TABLE_READ_BACKOFF_INITIAL_MS,
  TABLE_READ_BACKOFF_MAX_MS,
  TABLE_LONG_POLL_MS,
  FIRST_TABLE_TIMEOUT_MS,
} from './constants.js';

/** Options of a table controller. */
export interface ConfigTableControllerOptions {
  readonly stream: LogStream;
  /** Retention of the log, in milliseconds. */
  readonly retentionMs: number;
  readonly generator: RandomGenerator;
  /** Called after each read that reached the head, with the monotonic time at which it started. */
  readonly onRead?: (headOffset: LogOffset, startedAtMs: number) => void;
  /** Called after each failed read. */
  readonly onReadFailure?: () => void;
}

/**
 * Keeps the configuration table current from the log, and from peers while the log is unreadable.
 */
export class ConfigTableController extends Controller {
  override readonly name = 'table';

  private readonly replica: TableReplica;

  private readonly snapshotJitterRatio: number;

  private currentTable: ConfigTable;

  private lastFreshAtMs: number | undefined;

  private logReadable = false;

  private snapshotAttemptedAtMs: number | undefined;

  private readController: AbortController | undefined;

  private readonly listeners = new Set<(table: ConfigTable) => void>();

  constructor(private readonly options: ConfigTableControllerOptions) {
    super();
    this.replica = new TableReplica(options.stream);
    this.currentTable = createConfigTable(this.replica.state);
    this.snapshotJitterRatio = pickSnapshotJitter(options.generator);
  }

  /** Latest known table. */
  get table(): ConfigTable {
    return this.currentTable;
  }

  /** Offset up to which all log records are applied, exclusive. */
  get offset(): LogOffset {
    return this.currentTable.nextOffset;
  }

  /** Monotonic time at which the table was last known to include all records of the log. */
  get freshAtMs(): number | undefined {
    return this.lastFreshAtMs;
  }

  /** Whether the last read of the log succeeded. */
  get isLogReadable(): boolean {
    return this.logReadable;
  }

  override start(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, FIRST_TABLE_TIMEOUT_MS);
      const finish = (): void => {
        clearTimeout(timer);
        resolve();
      };
      this.followLog(signal, finish).then(finish, finish);
    });
  }

  /** Calls a listener with each new table until the signal aborts. */
  subscribe(listener: (table: ConfigTable) => void, signal: AbortSignal): void {
    this.listeners.add(listener);
    signal.addEventListener('abort', () => this.listeners.delete(listener), { once: true });
  }

  /**
   * Returns the time since the table was known to be current, in milliseconds; Infinity before
   * that.
   */
  getAgeMs(): number {
    return this.lastFreshAtMs === undefined ? Infinity : performance.now() - this.lastFreshAtMs;
  }

  /** Triggers an immediate read of the log if a peer knows of records that this VM has not read. */
  handleOffsetHint(nextOffset: LogOffset): void {
    if (nextOffset > this.offset) this.readController?.abort();
  }

  /** Exports the state of the table for a peer. */
  exportState(): SnapshotRecord {
    return createSnapshotRecord(this.replica.state);
  }

  /** Adopts a peer's state if it is valid and newer; returns whether it did. */
  acceptPeerState(value: unknown): boolean {
    const parsed = snapshotRecordSchema.safeParse(value);
    if (!parsed.success || !this.replica.acceptState(loadSnapshot(parsed.data))) return false;
    this.publishTable();
    return true;
  }

  override dump(): unknown {
    const rows = this.currentTable
      .listRows()
      .map((row) => (row.kind === 'account' ? { ...row, keyHashes: row.keyHashes.length } : row));
    return {
      offset: this.offset,
      ageMs: this.lastFreshAtMs === undefined ? null : Math.round(this.getAgeMs()),
      logReadable: this.logReadable,
      latestSnapshot: this.replica.latestSnapshot ?? null,
      rows,
    };
  }

  private async followLog(signal: AbortSignal, onCaughtUp: () => void): Promise<void> {
    const backoff = createBackoff({
      initialMs: TABLE_READ_BACKOFF_INITIAL_MS,
      maxMs: TABLE_READ_BACKOFF_MAX_MS,
      generator: this.options.generator,
    });
    while (!signal.aborted) {
      try {
        if (await this.readOnce(signal)) onCaughtUp();
        backoff.reset();
      } catch (error) {
        if (!(error instanceof LogError) && !(error instanceof TableGapError)) throw error;
        this.logReadable = error instanceof TableGapError;
        if (!this.logReadable) this.options.onReadFailure?.();
        await sleep(backoff.nextDelayMs(), signal);
      }
    }
  }

  /** @returns whether the read reached the head of the log */
  private async readOnce(signal: AbortSignal): Promise<boolean> {
    const controller = new AbortController();
    const startedAtMs = performance.now();
    const waitMs = this.lastFreshAtMs === undefined ? 0 : TABLE_LONG_POLL_MS;
    this.readController = controller;
    let atHead: boolean;
    try {
      const readSignal = AbortSignal.any([signal, controller.signal]);
      ({ atHead } = await this.replica.readNext({ waitMs, signal: readSignal }));
    } catch (error) {
      // Aborted by an offset hint from a peer; the caller reads again at once.
      if (controller.signal.aborted && !signal.aborted) return false;
      throw error;
    }
    this.logReadable = true;
    this.publishTable();
    if (atHead) {
      this.recordFreshAt(startedAtMs);
      this.options.onRead?.(this.offset, startedAtMs);
    }
    if (atHead) await this.saveSnapshot(signal);
    return atHead;
  }

  private recordFreshAt(atMs: number): void {
    this.lastFreshAtMs = Math.max(this.lastFreshAtMs ?? -Infinity, atMs);
  }

  private publishTable(): void {
    if (this.replica.state.nextOffset === this.currentTable.nextOffset) return;
    this.currentTable = createConfigTable(this.replica.state);
    this.listeners.forEach((listener) => listener(this.currentTable));
  }

  /** Writes a snapshot if one is due. Failures and duplicates are harmless. */
  private async saveSnapshot(signal: AbortSignal): Promise<void> {
    const { retentionMs, stream } = this.options;
    if (!isSnapshotDue(this.replica, { retentionMs, jitter: this.snapshotJitterRatio }, Date.now()))
      return;
    const nowMs = performance.now();
    if (nowMs - (this.snapshotAttemptedAtMs ?? -Infinity) < SNAPSHOT_RETRY_INTERVAL_MS) return;
    this.snapshotAttemptedAtMs = nowMs;
    try {
      await stream.append([this.exportState()], signal);
    } catch (error) {
      if (!(error instanceof LogError)) throw error;
    }
  }
}

/** Creates the controller of the configuration table. */
export const createConfigTableController = (
  options: ConfigTableControllerOptions,
): ConfigTableController => new ConfigTableController(options);
