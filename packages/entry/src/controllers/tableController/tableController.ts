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
  SNAPSHOT_RETRY_MS,
  TABLE_BACKOFF_INITIAL_MS,
  TABLE_BACKOFF_MAX_MS,
  TABLE_POLL_WAIT_MS,
  TABLE_START_TIMEOUT_MS,
} from './constants.js';

/** What a table controller needs. */
export interface TableControllerOptions {
  readonly stream: LogStream;
  /** Time for which the log keeps records, in milliseconds. */
  readonly retentionMs: number;
  readonly generator: RandomGenerator;
  /** Told of each read that reached the head, with the monotonic time at which it was begun. */
  readonly onRead?: (headOffset: LogOffset, startedAtMs: number) => void;
  /** Told of each read that failed. */
  readonly onReadFailure?: () => void;
}

/** Keeps the configuration table current from the log and from peers. */
export class TableController extends Controller {
  override readonly name = 'table';

  private readonly replica: TableReplica;

  private readonly jitter: number;

  private view: ConfigTable;

  private freshSinceMs: number | undefined;

  private logReadable = false;

  private snapshotTriedAtMs: number | undefined;

  private wakeRead: AbortController | undefined;

  private readonly listeners = new Set<(table: ConfigTable) => void>();

  constructor(private readonly options: TableControllerOptions) {
    super();
    this.replica = new TableReplica(options.stream);
    this.view = createConfigTable(this.replica.state);
    this.jitter = pickSnapshotJitter(options.generator);
  }

  /** Newest known table. */
  get table(): ConfigTable {
    return this.view;
  }

  /** Every record before this offset is folded. */
  get offset(): LogOffset {
    return this.view.nextOffset;
  }

  /** Time of the monotonic clock when the table was last known to be at the head of the log. */
  get freshAtMs(): number | undefined {
    return this.freshSinceMs;
  }

  /** Whether the newest read of the log succeeded. */
  get isLogReadable(): boolean {
    return this.logReadable;
  }

  override start(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, TABLE_START_TIMEOUT_MS);
      const finish = (): void => {
        clearTimeout(timer);
        resolve();
      };
      this.follow(signal, finish).then(finish, finish);
    });
  }

  /** Tells a listener of each new table until the signal aborts. */
  subscribe(listener: (table: ConfigTable) => void, signal: AbortSignal): void {
    this.listeners.add(listener);
    signal.addEventListener('abort', () => this.listeners.delete(listener), { once: true });
  }

  /** Gives the age of the table's freshness, in milliseconds; infinite before the first read. */
  getAgeMs(): number {
    return this.freshSinceMs === undefined ? Infinity : performance.now() - this.freshSinceMs;
  }

  /** Has the log read at once where a peer knows of records that this VM has not seen. */
  noteOffset(nextOffset: LogOffset): void {
    if (nextOffset > this.offset) this.wakeRead?.abort();
  }

  /** Gives the folded state for a peer. */
  exportState(): SnapshotRecord {
    return createSnapshotRecord(this.replica.state);
  }

  /** Accepts a peer's folded state if it is newer and well formed. */
  acceptPeerState(value: unknown): boolean {
    const parsed = snapshotRecordSchema.safeParse(value);
    if (!parsed.success || !this.replica.acceptState(loadSnapshot(parsed.data))) return false;
    this.publishTable();
    return true;
  }

  override dump(): unknown {
    const rows = this.view
      .listRows()
      .map((row) => (row.kind === 'account' ? { ...row, keyHashes: row.keyHashes.length } : row));
    return {
      offset: this.offset,
      ageMs: this.freshSinceMs === undefined ? null : Math.round(this.getAgeMs()),
      logReadable: this.logReadable,
      latestSnapshot: this.replica.latestSnapshot ?? null,
      rows,
    };
  }

  private async follow(signal: AbortSignal, onFirst: () => void): Promise<void> {
    const backoff = createBackoff({
      initialMs: TABLE_BACKOFF_INITIAL_MS,
      maxMs: TABLE_BACKOFF_MAX_MS,
      generator: this.options.generator,
    });
    while (!signal.aborted) {
      try {
        if (await this.readOnce(signal)) onFirst();
        backoff.reset();
      } catch (error) {
        if (!(error instanceof LogError) && !(error instanceof TableGapError)) throw error;
        this.logReadable = error instanceof TableGapError;
        if (!this.logReadable) this.options.onReadFailure?.();
        await sleep(backoff.nextDelayMs(), signal);
      }
    }
  }

  /** @returns whether the table was at the head of the log */
  private async readOnce(signal: AbortSignal): Promise<boolean> {
    const wake = new AbortController();
    const askedAtMs = performance.now();
    const waitMs = this.freshSinceMs === undefined ? 0 : TABLE_POLL_WAIT_MS;
    this.wakeRead = wake;
    let atHead: boolean;
    try {
      const readSignal = AbortSignal.any([signal, wake.signal]);
      ({ atHead } = await this.replica.readNext({ waitMs, signal: readSignal }));
    } catch (error) {
      // A hint ends the wait on purpose; the next read follows at once.
      if (wake.signal.aborted && !signal.aborted) return false;
      throw error;
    }
    this.logReadable = true;
    this.publishTable();
    if (atHead) {
      this.noteFreshAt(askedAtMs);
      this.options.onRead?.(this.offset, askedAtMs);
    }
    if (atHead) await this.saveSnapshot(signal);
    return atHead;
  }

  private noteFreshAt(atMs: number): void {
    this.freshSinceMs = Math.max(this.freshSinceMs ?? -Infinity, atMs);
  }

  private publishTable(): void {
    if (this.replica.state.nextOffset === this.view.nextOffset) return;
    this.view = createConfigTable(this.replica.state);
    this.listeners.forEach((listener) => listener(this.view));
  }

  /** Writes a snapshot when one is due; a failed or doubled one does no harm. */
  private async saveSnapshot(signal: AbortSignal): Promise<void> {
    const { retentionMs, stream } = this.options;
    if (!isSnapshotDue(this.replica, { retentionMs, jitter: this.jitter }, Date.now())) return;
    const nowMs = performance.now();
    if (nowMs - (this.snapshotTriedAtMs ?? -Infinity) < SNAPSHOT_RETRY_MS) return;
    this.snapshotTriedAtMs = nowMs;
    try {
      await stream.append([this.exportState()], signal);
    } catch (error) {
      if (!(error instanceof LogError)) throw error;
    }
  }
}

/** Creates the controller of the configuration table. */
export const createTableController = (options: TableControllerOptions): TableController =>
  new TableController(options);
