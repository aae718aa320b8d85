import { toLogOffset } from '../ids.js';
import type { LogOffset } from '../ids.js';
import { LogError } from '../log/index.js';
import type { LogPage, LogReadOptions, LogRecord, LogStream } from '../log/index.js';
import { CompareAndSetStateMachine } from './compareAndSetStateMachine.js';
import { snapshotRecordSchema } from './records.js';
import type { SnapshotRecord } from './records.js';
import { createTableState, loadSnapshot } from './tableState.js';
import type { TableState } from './tableState.js';
import type { EditResult, TableStateMachine } from './tableStateMachine.js';
import { TableGapError } from './tableGapError.js';

/** Result of one read of the stream. */
export interface ReplicaRead {
  /** Results of the edits in log order; results before a loaded snapshot are not available. */
  readonly results: readonly EditResult[];
  /** Whether the replica has applied all records up to the head in the log's response. */
  readonly atHead: boolean;
}

/** Position of the newest snapshot that was read from the stream. */
export interface SnapshotPosition {
  readonly offset: LogOffset;
  readonly nextOffset: LogOffset;
  readonly timeMs: number;
}

const parseSnapshot = (record: LogRecord): SnapshotRecord | undefined => {
  const parsed = snapshotRecordSchema.safeParse(record.value);
  return parsed.success && parsed.data.nextOffset <= record.offset ? parsed.data : undefined;
};

/** Replica of the table that follows the stream. */
export class TableReplica {
  private currentState = createTableState();

  private newestSnapshot: SnapshotPosition | undefined;

  private firstRecordAtMs: number | undefined;

  constructor(
    private readonly stream: LogStream,
    private readonly stateMachine: TableStateMachine = new CompareAndSetStateMachine(),
  ) {}

  get state(): TableState {
    return this.currentState;
  }

  get latestSnapshot(): SnapshotPosition | undefined {
    return this.newestSnapshot;
  }

  /** Log timestamp of the first record that this replica read, in milliseconds. */
  get firstRecordTimeMs(): number | undefined {
    return this.firstRecordAtMs;
  }

  /**
   * Reads and applies the next page; if records were trimmed, continues from a snapshot.
   *
   * @throws LogError if the log fails, TableGapError if the state must be fetched from a peer
   */
  async readNext(options: LogReadOptions = {}): Promise<ReplicaRead> {
    try {
      return this.applyPage(await this.stream.read(this.currentState.nextOffset, options));
    } catch (error) {
      if (!(error instanceof LogError) || error.failure !== 'trimmed') throw error;
      return this.loadSnapshotFromLog(error.firstOffset ?? this.currentState.nextOffset, options);
    }
  }

  /** Adopts a peer's state if it is newer; returns whether it was adopted. */
  acceptState(state: TableState): boolean {
    if (state.nextOffset <= this.currentState.nextOffset) return false;
    this.currentState = state;
    return true;
  }

  private applyPage(page: LogPage): ReplicaRead {
    const { state, results } = this.stateMachine.applyRecords(this.currentState, page.records);
    // A newer state from a peer may have been accepted during the read.
    if (state.nextOffset > this.currentState.nextOffset) this.currentState = state;
    page.records.forEach((record) => this.trackSnapshot(record));
    return { results, atHead: this.currentState.nextOffset >= page.headOffset };
  }

  private trackSnapshot(record: LogRecord): void {
    this.firstRecordAtMs ??= record.timeMs;
    const found = parseSnapshot(record);
    if (!found) return;
    const { offset, timeMs } = record;
    this.newestSnapshot = { offset, timeMs, nextOffset: found.nextOffset };
  }

  /** Reads from the oldest retained record until a snapshot covers the trimmed records. */
  private async loadSnapshotFromLog(
    oldestOffset: LogOffset,
    options: LogReadOptions,
  ): Promise<ReplicaRead> {
    const records: LogRecord[] = [];
    let nextOffset = oldestOffset;
    for (;;) {
      const page = await this.stream.read(nextOffset, { ...options, waitMs: 0 });
      records.push(...page.records);
      const covering = page.records
        .map(parseSnapshot)
        .find((snapshot) => snapshot && snapshot.nextOffset >= oldestOffset);
      if (covering) {
        this.acceptState(loadSnapshot(covering));
        return this.applyPage({ ...page, records });
      }
      nextOffset = toLogOffset(nextOffset + page.records.length);
      if (this.currentState.nextOffset >= oldestOffset) return this.applyPage({ ...page, records });
      if (nextOffset >= page.headOffset) {
        throw new TableGapError(`no snapshot covers the records before offset ${oldestOffset}`);
      }
    }
  }
}
