import { toLogOffset } from '../ids.js';
import type { LogOffset } from '../ids.js';
import { LogError } from '../log/index.js';
import type { LogPage, LogReadOptions, LogRecord, LogStream } from '../log/index.js';
import { CompareAndSetFold } from './compareAndSetFold.js';
import { snapshotRecordSchema } from './records.js';
import type { SnapshotRecord } from './records.js';
import { createTableState, loadSnapshot } from './state.js';
import type { TableState } from './state.js';
import type { EditResult, TableFold } from './tableFold.js';
import { TableGapError } from './tableGapError.js';

/** What one read of the stream brought. */
export interface ReplicaRead {
  /** Results of the edits in the order of the log; those before a loaded snapshot are not known. */
  readonly results: readonly EditResult[];
  /** Whether every record of the stream was folded when the log answered. */
  readonly atHead: boolean;
}

/** Newest snapshot that was seen in the stream. */
export interface SeenSnapshot {
  readonly offset: LogOffset;
  readonly nextOffset: LogOffset;
  readonly timeMs: number;
}

const findSnapshot = (record: LogRecord): SnapshotRecord | undefined => {
  const parsed = snapshotRecordSchema.safeParse(record.value);
  return parsed.success && parsed.data.nextOffset <= record.offset ? parsed.data : undefined;
};

/** Copy of the table that follows the stream. */
export class TableReplica {
  private current = createTableState();

  private snapshot: SeenSnapshot | undefined;

  private firstRecordMs: number | undefined;

  constructor(
    private readonly stream: LogStream,
    private readonly fold: TableFold = new CompareAndSetFold(),
  ) {}

  get state(): TableState {
    return this.current;
  }

  get latestSnapshot(): SeenSnapshot | undefined {
    return this.snapshot;
  }

  /** Log time of the first record that this replica read, in milliseconds. */
  get firstRecordTimeMs(): number | undefined {
    return this.firstRecordMs;
  }

  /**
   * Reads and folds the next page; over trimmed records it goes on from a snapshot.
   *
   * @throws LogError where the log fails, TableGapError where only a peer can help
   */
  async readNext(options: LogReadOptions = {}): Promise<ReplicaRead> {
    try {
      return this.takePage(await this.stream.read(this.current.nextOffset, options));
    } catch (error) {
      if (!(error instanceof LogError) || error.failure !== 'trimmed') throw error;
      return this.loadFromLog(error.firstOffset ?? this.current.nextOffset, options);
    }
  }

  /** Takes a peer's state over if it is newer; an older one changes nothing. */
  acceptState(state: TableState): boolean {
    if (state.nextOffset <= this.current.nextOffset) return false;
    this.current = state;
    return true;
  }

  private takePage(page: LogPage): ReplicaRead {
    const { state, results } = this.fold.foldRecords(this.current, page.records);
    // A peer's newer state may have been accepted while the read was under way.
    if (state.nextOffset > this.current.nextOffset) this.current = state;
    page.records.forEach((record) => this.noteRecord(record));
    return { results, atHead: this.current.nextOffset >= page.headOffset };
  }

  private noteRecord(record: LogRecord): void {
    this.firstRecordMs ??= record.timeMs;
    const found = findSnapshot(record);
    if (!found) return;
    const { offset, timeMs } = record;
    this.snapshot = { offset, timeMs, nextOffset: found.nextOffset };
  }

  /** Reads from the oldest record on until a snapshot covers the trimmed ones. */
  private async loadFromLog(first: LogOffset, options: LogReadOptions): Promise<ReplicaRead> {
    const records: LogRecord[] = [];
    let next = first;
    for (;;) {
      const page = await this.stream.read(next, { ...options, waitMs: 0 });
      records.push(...page.records);
      const found = page.records
        .map(findSnapshot)
        .find((snapshot) => snapshot && snapshot.nextOffset >= first);
      if (found) {
        this.acceptState(loadSnapshot(found));
        return this.takePage({ ...page, records });
      }
      next = toLogOffset(next + page.records.length);
      if (this.current.nextOffset >= first) return this.takePage({ ...page, records });
      if (next >= page.headOffset) {
        throw new TableGapError(`no snapshot covers the records before offset ${first}`);
      }
    }
  }
}
